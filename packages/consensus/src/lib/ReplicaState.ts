/** The state that the parts of a replica share, and the effects they gather. */
import { invariant, type Random } from '@rillrudder/utils'
import { EntryKind, Membership, type Entry, type GroupMessage } from '@rillrudder/protocol'
import { MembershipHistory } from './MembershipHistory'
import type { Envelope, HardState, Output, Snapshot } from './Output'
import { ReplicatedLog } from './ReplicatedLog'
import { DEFAULT_TIMING, type Timing } from './Timing'
import type { SafetyChecker } from './SafetyChecker'

/** What a replica is doing in its group. @public */
export const Role = {
	Follower: 'follower',
	PreCandidate: 'pre-candidate',
	Candidate: 'candidate',
	Leader: 'leader',
} as const
/** One of the roles. @public */
export type Role = (typeof Role)[keyof typeof Role]

/** A voter that the group starts with. @public */
export interface Founder {
	readonly id: string
	/** Whether it keeps its log on a disk. */
	readonly durable: boolean
	/** Whether it is in the group's own data centre. */
	readonly local: boolean
}

/** What an instance of a group with an open membership tells of itself. @public */
export interface Applicant {
	/** Whether it keeps its log on a disk; only such instances are admitted. */
	readonly durable: boolean
	readonly dataCentre: string
	/** The instances to ask for admission; they may change from call to call. */
	readonly contacts: () => readonly string[]
}

/** What a replica is told when it is made. @public */
export interface ReplicaOptions {
	readonly group: string
	readonly id: string
	/**
	 * The life of this replica: kept with the log on a disk, new at every start without one. Votes
	 * and acknowledgements count only from the life that the membership names.
	 */
	readonly incarnation: string
	readonly founders: readonly Founder[]
	/** Set for an open membership, which instances join and leave; without it the founders stay. */
	readonly applicant?: Applicant
	readonly timing?: Timing
	/**
	 * When this process started, on the clock that the replica is driven by: a promise to an earlier
	 * leader was made before. By default the moment at which the replica is made.
	 */
	readonly startedAt?: number
	readonly random: Random
	readonly safetyChecker?: SafetyChecker
}

/** What was found in the data folder. @public */
export interface RestoredState {
	readonly hardState: HardState
	readonly snapshot?: Snapshot
	readonly entries: readonly Entry[]
}

/** Entries committed between two times that the commit index is stored. */
const COMMIT_STORED_EVERY = 50

/** The body of a message. @public */
export type MessageBody = NonNullable<GroupMessage['body']>

/**
 * The state that the parts of a replica share.
 *
 * @internal
 */
export class ReplicaState {
	readonly timing: Timing
	readonly log = new ReplicatedLog()
	readonly memberships = new MembershipHistory()
	role: Role = Role.Follower
	term = 0
	votedFor = ''
	leader = ''
	commit = 0
	applied = 0
	snapshot: Snapshot | undefined
	/** When a leader was last heard. A fresh start counts: what was promised before is forgotten. */
	leaderHeardAt: number
	/** Whether this process has led, or followed a leader, since it started. */
	knewLeader = false
	/** Instances that answers to probes have named as members. */
	readonly reportedMembers = new Set<string>()

	private immediate: Envelope[] = []
	private afterSync: Envelope[] = []
	private unstored: Entry[] = []
	private installed: Snapshot | undefined
	private hardStateChanged = false
	private commitStored = 0

	constructor(
		readonly options: ReplicaOptions,
		now: number
	) {
		this.timing = options.timing ?? DEFAULT_TIMING
		this.leaderHeardAt = options.startedAt ?? now
	}

	/** Whether the membership in force gives this very life a vote. */
	get votes(): boolean {
		const self = this.memberships.find(this.options.id)
		return self !== undefined && self.voter && self.incarnation === this.options.incarnation
	}

	/** Whether the membership in force names this very life, with a vote or without. */
	get belongs(): boolean {
		const { id, incarnation } = this.options
		return this.memberships.find(id)?.incarnation === incarnation
	}

	/** Whether no membership is known. */
	get blank(): boolean {
		return this.memberships.current.members.length === 0
	}

	/** Id and incarnation. */
	get replicaKey(): string {
		return `${this.options.id}#${this.options.incarnation}`
	}

	/** Takes up what the data folder held. */
	restore(restored: RestoredState): void {
		this.term = restored.hardState.term
		this.votedFor = restored.hardState.votedFor
		if (restored.snapshot) this.takeSnapshot(restored.snapshot)
		for (const entry of restored.entries) this.keep(entry)
		const known = Math.min(restored.hardState.commit ?? 0, this.log.lastIndex)
		if (known > this.commit) this.commit = known
	}

	/** Moves to a later term, as a follower that has given nobody its vote. */
	enterTerm(term: number): void {
		invariant(term > this.term, 'terms only grow', { from: this.term, to: term })
		this.term = term
		this.votedFor = ''
		this.leader = ''
		this.role = Role.Follower
		this.hardStateChanged = true
	}

	/** Gives this term's vote. */
	vote(candidate: string): void {
		invariant(this.votedFor === '' || this.votedFor === candidate, 'one vote a term', {
			term: this.term,
			votedFor: this.votedFor,
			candidate,
		})
		this.votedFor = candidate
		this.hardStateChanged = true
	}

	/** Adds an entry to the log and to what must be stored. */
	append(entry: Entry): void {
		this.keep(entry)
		this.unstored.push(entry)
	}

	/** Drops entries that another leader's entries replace. */
	truncateAfter(index: number): void {
		invariant(index >= this.commit, 'committed entries stay', { index, commit: this.commit })
		this.log.truncateAfter(index)
		this.memberships.truncateAfter(index)
		this.unstored = this.unstored.filter((entry) => entry.index <= index)
	}

	/** Replaces the log by a snapshot that reaches further than what was applied. */
	install(snapshot: Snapshot): void {
		this.takeSnapshot(snapshot)
		this.unstored = []
		this.installed = snapshot
	}

	/** Marks entries up to an index as committed. */
	commitTo(index: number): void {
		invariant(index <= this.log.lastIndex, 'only held entries are committed', {
			index,
			last: this.log.lastIndex,
		})
		if (index <= this.commit) return
		for (let at = this.commit + 1; at <= index; at++) {
			this.options.safetyChecker?.onCommitted(this.log.at(at))
		}
		this.commit = index
	}

	/** Sends at once. */
	sendImmediately(to: string, body: MessageBody): void {
		this.immediate.push({ to, message: this.seal(body, this.term) })
	}

	/** Sends once everything gathered so far is lasting. */
	sendAfterSync(to: string, body: MessageBody, term = this.term): void {
		this.afterSync.push({ to, message: this.seal(body, term) })
	}

	/** Hands the gathered effects over. */
	takeOutput(): Output {
		const committed: Entry[] = []
		while (this.applied < this.commit) committed.push(this.log.at(++this.applied))
		const output: Output = {
			hardState: this.takeHardState(),
			snapshot: this.installed,
			entries: this.unstored,
			immediate: this.immediate,
			afterSync: this.afterSync,
			committed,
		}
		this.immediate = []
		this.afterSync = []
		this.unstored = []
		this.installed = undefined
		this.hardStateChanged = false
		return output
	}

	/** The commit index is stored now and then, with what is stored anyway. */
	private takeHardState(): HardState | undefined {
		const { term, votedFor, commit } = this
		const due = this.unstored.length > 0 && commit - this.commitStored >= COMMIT_STORED_EVERY
		if (!this.hardStateChanged && !due) return undefined
		this.commitStored = commit
		return { term, votedFor, commit }
	}

	private keep(entry: Entry): void {
		this.log.append(entry)
		if (entry.kind !== EntryKind.ENTRY_KIND_MEMBERSHIP) return
		this.memberships.add({ index: entry.index, membership: Membership.decode(entry.data) })
	}

	private takeSnapshot(snapshot: Snapshot): void {
		this.snapshot = snapshot
		this.log.reset(snapshot.index, snapshot.term)
		this.memberships.reset({ index: snapshot.index, membership: snapshot.membership })
		this.commit = snapshot.index
		this.applied = snapshot.index
	}

	private seal(body: MessageBody, term: number): GroupMessage {
		const { group, id, incarnation } = this.options
		return { group, from: id, incarnation, term, body }
	}
}
