/** The state shared by the roles of a replica, and the effects they collect. */
import { invariant, type Random } from '@rillrudder/utils'
import { EntryKind, Membership, type Entry, type GroupMessage } from '@rillrudder/protocol'
import { MembershipHistory } from './MembershipHistory'
import type { Envelope, HardState, Output, Snapshot } from './Output'
import { ReplicatedLog } from './ReplicatedLog'
import { DEFAULT_TIMING, type Timing } from './Timing'
import type { SafetyChecker } from './SafetyChecker'

/** The role of a replica in its group. @public */
export const Role = {
	Follower: 'follower',
	PreCandidate: 'pre-candidate',
	Candidate: 'candidate',
	Leader: 'leader',
} as const
/** A role. @public */
export type Role = (typeof Role)[keyof typeof Role]

/** A voter of the initial membership. @public */
export interface Founder {
	readonly id: string
	/** Whether it keeps its log on a disk. */
	readonly durable: boolean
	/** Whether it is in the group's own data centre. */
	readonly local: boolean
}

/** How an instance applies to a group with an open membership. @public */
export interface Applicant {
	/** Whether it keeps its log on a disk; only such instances are admitted. */
	readonly durable: boolean
	readonly dataCentre: string
	/** Returns the instances to ask for admission; they may change from call to call. */
	readonly contacts: () => readonly string[]
}

/** Options of a replica. @public */
export interface ReplicaOptions {
	readonly group: string
	readonly id: string
	/**
	 * The incarnation of this replica: stored with the log on a disk, new at every start without one.
	 * Votes and acknowledgements count only from the incarnation that the membership names.
	 */
	readonly incarnation: string
	readonly founders: readonly Founder[]
	/**
	 * Set for an open membership, which instances join and leave; without it the founders are fixed.
	 */
	readonly applicant?: Applicant
	readonly timing?: Timing
	/**
	 * When this process started, on the clock that the replica is driven by; an earlier leader's lease
	 * was acknowledged before. Defaults to the time of construction.
	 */
	readonly startedAt?: number
	readonly random: Random
	readonly safetyChecker?: SafetyChecker
}

/** The state read from the data folder. @public */
export interface RestoredState {
	readonly hardState: HardState
	readonly snapshot?: Snapshot
	readonly entries: readonly Entry[]
}

/** Number of entries committed between two stores of the commit index. */
const COMMIT_STORE_INTERVAL = 50

/** The body of a message. @public */
export type MessageBody = NonNullable<GroupMessage['body']>

/**
 * The state shared by the roles of a replica.
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
	/**
	 * When a leader was last heard from. A start counts too, as leases acknowledged before it are
	 * unknown.
	 */
	leaderHeardAt: number
	/** Whether this process has led, or followed a leader, since it started. */
	hasKnownLeader = false
	/** Members that replies to probes have named. */
	readonly reportedMembers = new Set<string>()

	private immediate: Envelope[] = []
	private afterSync: Envelope[] = []
	private unpersisted: Entry[] = []
	private installedSnapshot: Snapshot | undefined
	private hardStateChanged = false
	private storedCommit = 0

	constructor(
		readonly options: ReplicaOptions,
		now: number
	) {
		this.timing = options.timing ?? DEFAULT_TIMING
		this.leaderHeardAt = options.startedAt ?? now
	}

	/** Whether this incarnation is a voter in the membership in force. */
	get isVoter(): boolean {
		const self = this.memberships.find(this.options.id)
		return self !== undefined && self.voter && self.incarnation === this.options.incarnation
	}

	/** Whether this incarnation is a member, voter or learner, in the membership in force. */
	get isMember(): boolean {
		const { id, incarnation } = this.options
		return this.memberships.find(id)?.incarnation === incarnation
	}

	/** Whether no membership is known. */
	get isBlank(): boolean {
		return this.memberships.current.members.length === 0
	}

	/** Id and incarnation. */
	get replicaKey(): string {
		return `${this.options.id}#${this.options.incarnation}`
	}

	/** Restores the state read from the data folder. */
	restore(restored: RestoredState): void {
		this.term = restored.hardState.term
		this.votedFor = restored.hardState.votedFor
		if (restored.snapshot) this.resetToSnapshot(restored.snapshot)
		for (const entry of restored.entries) this.appendToLog(entry)
		const known = Math.min(restored.hardState.commit ?? 0, this.log.lastIndex)
		if (known > this.commit) this.commit = known
	}

	/** Enters a later term as a follower that has not voted. */
	enterTerm(term: number): void {
		invariant(term > this.term, 'terms only increase', { from: this.term, to: term })
		this.term = term
		this.votedFor = ''
		this.leader = ''
		this.role = Role.Follower
		this.hardStateChanged = true
	}

	/** Grants this term's vote. */
	vote(candidate: string): void {
		invariant(this.votedFor === '' || this.votedFor === candidate, 'one vote per term', {
			term: this.term,
			votedFor: this.votedFor,
			candidate,
		})
		this.votedFor = candidate
		this.hardStateChanged = true
	}

	/** Adds an entry to the log and to the entries to be stored. */
	append(entry: Entry): void {
		this.appendToLog(entry)
		this.unpersisted.push(entry)
	}

	/** Drops the entries after an index, which another leader's entries replace. */
	truncateAfter(index: number): void {
		invariant(index >= this.commit, 'committed entries are never truncated', {
			index,
			commit: this.commit,
		})
		this.log.truncateAfter(index)
		this.memberships.truncateAfter(index)
		this.unpersisted = this.unpersisted.filter((entry) => entry.index <= index)
	}

	/** Replaces the log by a snapshot that is newer than the applied state. */
	install(snapshot: Snapshot): void {
		this.resetToSnapshot(snapshot)
		this.unpersisted = []
		this.installedSnapshot = snapshot
	}

	/** Marks entries up to an index as committed. */
	commitTo(index: number): void {
		invariant(index <= this.log.lastIndex, 'only entries in the log are committed', {
			index,
			last: this.log.lastIndex,
		})
		if (index <= this.commit) return
		for (let at = this.commit + 1; at <= index; at++) {
			this.options.safetyChecker?.onCommitted(this.log.at(at))
		}
		this.commit = index
	}

	/** Queues a message to be sent at once. */
	sendImmediately(to: string, body: MessageBody): void {
		this.immediate.push({ to, message: this.toMessage(body, this.term) })
	}

	/** Queues a message to be sent once all collected changes are on disk. */
	sendAfterSync(to: string, body: MessageBody, term = this.term): void {
		this.afterSync.push({ to, message: this.toMessage(body, term) })
	}

	/** @returns the collected effects, and clears them. */
	takeOutput(): Output {
		const committed: Entry[] = []
		while (this.applied < this.commit) committed.push(this.log.at(++this.applied))
		const output: Output = {
			hardState: this.takeHardState(),
			snapshot: this.installedSnapshot,
			entries: this.unpersisted,
			immediate: this.immediate,
			afterSync: this.afterSync,
			committed,
		}
		this.immediate = []
		this.afterSync = []
		this.unpersisted = []
		this.installedSnapshot = undefined
		this.hardStateChanged = false
		return output
	}

	/** The commit index is stored from time to time, together with entries that are stored anyway. */
	private takeHardState(): HardState | undefined {
		const { term, votedFor, commit } = this
		const due = this.unpersisted.length > 0 && commit - this.storedCommit >= COMMIT_STORE_INTERVAL
		if (!this.hardStateChanged && !due) return undefined
		this.storedCommit = commit
		return { term, votedFor, commit }
	}

	private appendToLog(entry: Entry): void {
		this.log.append(entry)
		if (entry.kind !== EntryKind.ENTRY_KIND_MEMBERSHIP) return
		this.memberships.add({ index: entry.index, membership: Membership.decode(entry.data) })
	}

	private resetToSnapshot(snapshot: Snapshot): void {
		this.snapshot = snapshot
		this.log.reset(snapshot.index, snapshot.term)
		this.memberships.reset({ index: snapshot.index, membership: snapshot.membership })
		this.commit = snapshot.index
		this.applied = snapshot.index
	}

	private toMessage(body: MessageBody, term: number): GroupMessage {
		const { group, id, incarnation } = this.options
		return { group, from: id, incarnation, term, body }
	}
}
