/**
 * One replica of a group, as a pure state machine: messages, times and proposals go in, effects come
 * out. It owns no socket, timer or file.
 */
import {
	EntryKind,
	Membership,
	type Entry,
	type GroupMessage,
	type Member,
	type Probe,
	type ProbeReply,
} from '@rillrudder/protocol'
import { exhaustive } from '@rillrudder/utils'
import { Election } from './Election'
import { FollowerRole } from './FollowerRole'
import { Leadership } from './Leadership'
import { byPreference } from './preference'
import type { Output } from './Output'
import { ReplicaState, Role, type ReplicaOptions, type RestoredState } from './ReplicaState'

/** The status of a replica. @public */
export interface ReplicaStatus {
	readonly role: Role
	readonly term: number
	readonly leader: string
	readonly commit: number
	readonly lastIndex: number
	readonly members: readonly Member[]
}

/** Election timeouts without a leader after which a member of an open group sends probes. */
const PROBE_AFTER_TIMEOUTS = 3

/** A founder that has reported that it has no membership yet. */
interface BlankPeer {
	readonly incarnation: string
	readonly dataCentre: string
}

/** Entries kept below a snapshot, so that a replica slightly behind needs no snapshot. */
const ENTRIES_KEPT_BEHIND_SNAPSHOT = 1000

/**
 * One replica of a group.
 *
 * @example
 * ```ts
 * const replica = new Replica({ group, id, incarnation, founders, random }, clock.now())
 * replica.tick(clock.now())
 * const output = replica.takeOutput()
 * ```
 * @public
 */
export class Replica {
	private readonly state: ReplicaState
	private readonly election: Election
	private readonly follower: FollowerRole
	private readonly leadership: Leadership
	private readonly blankPeers = new Map<string, BlankPeer>()
	private nextProbeAt = 0

	/**
	 * @param options - identity, founders, timing and randomness.
	 * @param now - the start time, milliseconds on a monotonic clock.
	 * @param restored - the state read from the data folder, if any.
	 */
	constructor(options: ReplicaOptions, now: number, restored?: RestoredState) {
		this.state = new ReplicaState(options, now)
		this.leadership = new Leadership(this.state)
		this.election = new Election(this.state, (at) => this.leadership.start(at))
		this.follower = new FollowerRole(this.state, (at) => this.election.resetTimeout(at))
		if (restored) {
			this.state.restore(restored)
			this.leadership.onPersisted(this.state.log.lastIndex)
		}
		this.election.resetTimeout(options.startedAt ?? now)
	}

	/** The group's status as this replica knows it. */
	get status(): ReplicaStatus {
		const { role, term, leader, commit, log, memberships } = this.state
		const members = memberships.current.members
		return { role, term, leader, commit, lastIndex: log.lastIndex, members }
	}

	/** Members that replies to probes have named since the start; some may have left since. */
	get reportedMembers(): ReadonlySet<string> {
		return this.state.reportedMembers
	}

	/** When the leader was last heard from, on the clock that this replica is driven by. */
	get leaderHeardAt(): number {
		return this.state.leaderHeardAt
	}

	/** Whether this replica is the leader. */
	get isLeader(): boolean {
		return this.state.role === Role.Leader
	}

	/**
	 * @param now - the current time.
	 * @returns whether this replica leads, its state is the group's latest, and no other can lead yet.
	 * To be checked again after every wait that precedes a start.
	 */
	holdsLease(now: number): boolean {
		return this.isLeader && this.leadership.isCurrent && this.leadership.holdsLease(now)
	}

	/**
	 * Makes a leader confirm its lease with a majority again, because more time may have passed than the
	 * clock shows.
	 *
	 * @param now - the current time.
	 */
	revalidateLease(now: number): void {
		if (this.isLeader) this.leadership.revalidateLease(now)
	}

	/**
	 * @param now - the current time.
	 * @returns when the lease ends unless renewed; meaningful only while `holdsLease`.
	 */
	leaseEnd(now: number): number {
		return this.leadership.leaseEnd(now)
	}

	/**
	 * Appends commands to the log when this replica leads.
	 *
	 * @param commands - encoded commands, kept in this order.
	 * @param now - the current time.
	 * @returns the index of the first, or undefined when this replica accepts none now.
	 */
	propose(commands: readonly Uint8Array[], now: number): number | undefined {
		if (!this.isLeader || commands.length === 0) return undefined
		return this.leadership.propose(commands, now)
	}

	/**
	 * Reports that an output is on disk.
	 *
	 * @param index - index of its last entry.
	 * @param term - term of that entry; an entry that was replaced in the meantime does not count.
	 */
	onPersisted(index: number, term: number): void {
		if (this.state.log.termAt(index) === term) this.leadership.onPersisted(index)
	}

	/**
	 * Handles the timeouts that are due.
	 *
	 * @param now - the current time.
	 */
	tick(now: number): void {
		if (this.isLeader) this.leadership.tick(now)
		else this.election.tick(now)
		if (now >= this.nextProbeAt && this.shouldProbe(now)) this.probe(now)
	}

	/**
	 * Transfers leadership for a planned stop.
	 *
	 * @param now - the current time.
	 * @returns whether a transfer has started.
	 */
	transferLeadership(now: number): boolean {
		if (!this.isLeader) return false
		return this.leadership.transferTo(this.leadership.findSuccessor(now), now)
	}

	/**
	 * Replaces a prefix of the log by a snapshot of the state.
	 *
	 * @param index - the last applied index that the data covers.
	 * @param data - the encoded state.
	 */
	compact(index: number, data: Uint8Array): void {
		const { log, memberships } = this.state
		const term = log.termAt(index)
		if (term === undefined || index <= (this.state.snapshot?.index ?? 0)) return
		this.state.snapshot = { index, term, membership: memberships.asOf(index), data }
		log.compactTo(Math.max(log.firstIndex - 1, index - ENTRIES_KEPT_BEHIND_SNAPSHOT))
	}

	/** The newest snapshot. */
	get snapshot(): ReplicaState['snapshot'] {
		return this.state.snapshot
	}

	/** The entries above the newest snapshot, to be stored together with it. */
	entriesAfterSnapshot(): Entry[] {
		const { log, snapshot } = this.state
		return log.slice((snapshot?.index ?? 0) + 1, Number.MAX_SAFE_INTEGER, Number.MAX_SAFE_INTEGER)
	}

	/**
	 * Handles a message from another replica of the group.
	 *
	 * @param message - the message.
	 * @param now - the current time.
	 */
	receive(message: GroupMessage, now: number): void {
		const body = message.body
		if (!body) return
		if (body.$case === 'probe') {
			this.onProbe(message, body.value, now)
			return
		}
		if (body.$case === 'probeReply') {
			this.onProbeReply(message, body.value, now)
			return
		}
		if (!this.acceptTerm(message, now)) return
		this.dispatch(message, body, now)
	}

	/** @returns the effects of all steps since the last call. */
	takeOutput(): Output {
		return this.state.takeOutput()
	}

	private dispatch(message: GroupMessage, body: NonNullable<GroupMessage['body']>, now: number) {
		const { from, term } = message
		const member = this.state.memberships.find(from)
		const known = member?.incarnation === message.incarnation ? member : undefined
		switch (body.$case) {
			case 'voteCall':
				return this.election.onVoteCall(from, term, body.value, now)
			case 'voteReply':
				return known && this.election.onVoteReply(known, term, body.value, now)
			case 'append':
				return this.trackTruncation(() => this.follower.onAppend(from, body.value, now))
			case 'snapshotPiece':
				return this.trackTruncation(() => this.follower.onSnapshotPiece(from, body.value, now))
			case 'appendReply':
				return this.isLeader && known && this.leadership.onAppendReply(known, body.value, now)
			case 'snapshotReply':
				return this.isLeader && known && this.leadership.onSnapshotReply(known, body.value, now)
			case 'timeoutNow':
				return this.state.leader === from && this.election.takeOver(now)
			case 'probe':
			case 'probeReply':
				return
			default:
				return exhaustive(body)
		}
	}

	/** Runs a step and lowers the persisted index when the step replaced entries of the log. */
	private trackTruncation(step: () => void): void {
		const before = this.state.log.lastIndex
		const beforeTerm = this.state.log.lastTerm
		step()
		if (this.state.log.termAt(before) !== beforeTerm) this.leadership.onTruncated(this.state.commit)
	}

	/** @returns whether the message may be handled, after entering its term when that is later. */
	private acceptTerm(message: GroupMessage, now: number): boolean {
		const body = message.body
		const preVote = body?.$case === 'voteCall' && body.value.pre
		const preReply =
			body?.$case === 'voteReply' && body.value.pre && (body.value.granted || body.value.leaderless)
		if (preVote || preReply) return true
		if (message.term < this.state.term) {
			this.replyToStale(message)
			return false
		}
		if (message.term === this.state.term) return true
		if (body?.$case === 'voteCall' && !this.election.shouldEnterTerm(body.value, now)) return false
		this.state.enterTerm(message.term)
		return true
	}

	/** Replies to a leader or candidate of an earlier term, so that it learns the current term. */
	private replyToStale(message: GroupMessage): void {
		const body = message.body
		if (body?.$case === 'append') {
			const value = { accepted: false, index: this.state.log.lastIndex, round: body.value.round }
			this.state.sendAfterSync(message.from, { $case: 'appendReply', value })
		} else if (body?.$case === 'voteCall') {
			const value = { pre: false, granted: false, leaderless: false }
			this.state.sendAfterSync(message.from, { $case: 'voteReply', value })
		}
	}

	/** A member of an open group probes too: it may have been replaced without being notified. */
	private shouldProbe(now: number): boolean {
		if (!this.state.isMember) return true
		if (!this.state.options.applicant || this.isLeader) return false
		return now - this.state.leaderHeardAt > this.state.timing.electionTimeout * PROBE_AFTER_TIMEOUTS
	}

	private probe(now: number): void {
		this.nextProbeAt = now + this.state.timing.electionTimeout
		const { applicant, founders, id } = this.state.options
		const contacts = applicant?.contacts() ?? founders.map((founder) => founder.id)
		const { durable = false, dataCentre = '' } = applicant ?? {}
		for (const contact of contacts) {
			if (contact === id) continue
			this.state.sendAfterSync(contact, { $case: 'probe', value: { durable, dataCentre } })
		}
		this.foundGroupIfAllBlank(now)
	}

	private onProbe(message: GroupMessage, probe: Probe, now: number): void {
		if (this.holdsLease(now)) this.leadership.admit(message.from, message.incarnation, probe)
		const { isBlank, term, options, memberships } = this.state
		const value = {
			echo: message.incarnation,
			blank: isBlank && term === 0,
			founding: this.foundingMembershipFor(message),
			members: memberships.current.members.map((member) => member.id),
			dataCentre: options.applicant?.dataCentre ?? '',
		}
		this.state.sendAfterSync(message.from, { $case: 'probeReply', value })
	}

	private onProbeReply(message: GroupMessage, reply: ProbeReply, now: number): void {
		const { from, incarnation } = message
		if (reply.echo !== this.state.options.incarnation) return
		for (const member of reply.members) this.state.reportedMembers.add(member)
		if (reply.blank) this.blankPeers.set(from, { incarnation, dataCentre: reply.dataCentre })
		else this.blankPeers.delete(from)
		if (reply.founding) this.adoptFounding(reply.founding)
		else this.foundGroupIfAllBlank(now)
	}

	/** The founding membership, if it names the probing incarnation and has not changed since. */
	private foundingMembershipFor(message: GroupMessage): Membership | undefined {
		const { memberships } = this.state
		const isNamed = memberships.find(message.from)?.incarnation === message.incarnation
		return isNamed && memberships.currentIndex === 1 ? memberships.current : undefined
	}

	/**
	 * Adopts the founding membership from a probe reply, as its founder may have failed before
	 * replicating it.
	 */
	private adoptFounding(membership: Membership): void {
		if (!this.state.isBlank || this.state.log.lastIndex > 0) return
		if (this.state.term === 0) this.state.enterTerm(1)
		const data = Membership.encode(membership).finish() as Buffer
		const kind = EntryKind.ENTRY_KIND_MEMBERSHIP
		this.state.append({ index: 1, term: 1, kind, data })
	}

	/**
	 * Founds the group, only on the founder that is preferred as leader, and only when every founder has
	 * reported to this incarnation that it has no membership; so a group is founded once.
	 */
	private foundGroupIfAllBlank(now: number): void {
		const { founders, id, incarnation, applicant } = this.state.options
		if (!this.state.isBlank || this.state.term !== 0) return
		const [first] = [...founders].sort(byPreference)
		if (first?.id !== id) return
		const self = { incarnation, dataCentre: applicant?.dataCentre ?? '' }
		const peersById = new Map(this.blankPeers).set(id, self)
		const members: Member[] = []
		for (const founder of founders) {
			const peer = peersById.get(founder.id)
			if (!peer) return
			members.push({ ...founder, ...peer, voter: true })
		}
		this.state.enterTerm(1)
		this.state.vote(id)
		this.leadership.foundGroup(members)
		this.leadership.start(now)
	}
}
