/**
 * One replica of a group, as a pure state machine: messages, moments and proposals go in, effects
 * come out. It owns no socket, timer or file.
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

/** What a replica tells of itself. @public */
export interface ReplicaStatus {
	readonly role: Role
	readonly term: number
	readonly leader: string
	readonly commit: number
	readonly lastIndex: number
	readonly members: readonly Member[]
}

/** Spans of `Timing.electionTimeout` without a leader after which a member of an open group asks around. */
const ASKS_AROUND = 3

/** A founder that has no membership yet. */
interface BlankPeer {
	readonly incarnation: string
	readonly dataCentre: string
}

/** Entries kept behind a snapshot, so that a replica a little behind needs no snapshot. */
const KEPT_BEHIND_SNAPSHOT = 1000

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
	private readonly following: FollowerRole
	private readonly leadership: Leadership
	private readonly blankPeers = new Map<string, BlankPeer>()
	private probeDue = 0

	/**
	 * @param options - identity, founders, spans and randomness.
	 * @param now - the moment of the start, milliseconds on a monotonic clock.
	 * @param restored - what the data folder held, if anything.
	 */
	constructor(options: ReplicaOptions, now: number, restored?: RestoredState) {
		this.state = new ReplicaState(options, now)
		this.leadership = new Leadership(this.state)
		this.election = new Election(this.state, (moment) => this.leadership.begin(moment))
		this.following = new FollowerRole(this.state, (moment) => this.election.reset(moment))
		if (restored) {
			this.state.restore(restored)
			this.leadership.onPersisted(this.state.log.lastIndex)
		}
		this.election.reset(options.startedAt ?? now)
	}

	/** What this replica knows of its group. */
	get status(): ReplicaStatus {
		const { role, term, leader, commit, log, memberships } = this.state
		const members = memberships.current.members
		return { role, term, leader, commit, lastIndex: log.lastIndex, members }
	}

	/** Instances that answers to probes have named as members, perhaps long ago. */
	get reportedMembers(): ReadonlySet<string> {
		return this.state.reportedMembers
	}

	/** When the leader was last heard, on the clock that this replica is driven by. */
	get leaderHeardAt(): number {
		return this.state.leaderHeardAt
	}

	/** Whether this replica leads. */
	get isLeader(): boolean {
		return this.state.role === Role.Leader
	}

	/**
	 * @param now - the moment.
	 * @returns whether it leads, its state is the group's latest, and no other can lead yet. Ask again
	 * after every wait that comes before a start.
	 */
	holdsLease(now: number): boolean {
		return this.isLeader && this.leadership.current && this.leadership.holdsLease(now)
	}

	/**
	 * More time may have passed than the clock shows: a leader asks the others again before it acts.
	 *
	 * @param now - the moment.
	 */
	revalidateLease(now: number): void {
		if (this.isLeader) this.leadership.revalidateLease(now)
	}

	/**
	 * @param now - the moment.
	 * @returns when the lease ends unless renewed; only of use while `holdsLease`.
	 */
	leaseEnd(now: number): number {
		return this.leadership.leaseEnd(now)
	}

	/**
	 * Adds commands to the log, when this replica leads.
	 *
	 * @param commands - encoded commands, kept in this order.
	 * @param now - the moment.
	 * @returns the index of the first, or undefined when this replica takes none now.
	 */
	propose(commands: readonly Uint8Array[], now: number): number | undefined {
		if (!this.isLeader || commands.length === 0) return undefined
		return this.leadership.propose(commands, now)
	}

	/**
	 * Tells that an output has been stored.
	 *
	 * @param index - index of its last entry.
	 * @param term - term of that entry; an entry that was replaced meanwhile does not count.
	 */
	onPersisted(index: number, term: number): void {
		if (this.state.log.termAt(index) === term) this.leadership.onPersisted(index)
	}

	/**
	 * Lets time pass.
	 *
	 * @param now - the moment.
	 */
	tick(now: number): void {
		if (this.isLeader) this.leadership.tick(now)
		else this.election.tick(now)
		if (now >= this.probeDue && this.asksAround(now)) this.probe(now)
	}

	/**
	 * Hands leadership over, for a planned stop.
	 *
	 * @param now - the moment.
	 * @returns whether there is somebody to hand to.
	 */
	transferLeadership(now: number): boolean {
		if (!this.isLeader) return false
		return this.leadership.transferTo(this.leadership.successor(now), now)
	}

	/**
	 * Replaces the beginning of the log by a snapshot of the state.
	 *
	 * @param index - the last applied index that the data covers.
	 * @param data - the encoded state.
	 */
	compact(index: number, data: Uint8Array): void {
		const { log, memberships } = this.state
		const term = log.termAt(index)
		if (term === undefined || index <= (this.state.snapshot?.index ?? 0)) return
		this.state.snapshot = { index, term, membership: memberships.asOf(index), data }
		log.compactTo(Math.max(log.firstIndex - 1, index - KEPT_BEHIND_SNAPSHOT))
	}

	/** The newest snapshot, for storing. */
	get snapshot(): ReplicaState['snapshot'] {
		return this.state.snapshot
	}

	/** The entries above the newest snapshot, for storing the two together. */
	entriesAfterSnapshot(): Entry[] {
		const { log, snapshot } = this.state
		return log.slice((snapshot?.index ?? 0) + 1, Number.MAX_SAFE_INTEGER, Number.MAX_SAFE_INTEGER)
	}

	/**
	 * Takes a message from another replica of the group.
	 *
	 * @param message - the message.
	 * @param now - the moment it is handled.
	 */
	receive(message: GroupMessage, now: number): void {
		const body = message.body
		if (!body) return
		if (body.$case === 'probe') {
			this.answerProbe(message, body.value, now)
			return
		}
		if (body.$case === 'probeReply') {
			this.takeProbeReply(message, body.value, now)
			return
		}
		if (!this.admitTerm(message, now)) return
		this.dispatch(message, body, now)
	}

	/** Hands over the effects of all steps since the last call. */
	takeOutput(): Output {
		return this.state.takeOutput()
	}

	private dispatch(message: GroupMessage, body: NonNullable<GroupMessage['body']>, now: number) {
		const { from, term } = message
		const member = this.state.memberships.find(from)
		const known = member?.incarnation === message.incarnation ? member : undefined
		switch (body.$case) {
			case 'voteCall':
				return this.election.answer(from, term, body.value, now)
			case 'voteReply':
				return known && this.election.count(known, term, body.value, now)
			case 'append':
				return this.follow(() => this.following.append(from, body.value, now))
			case 'snapshotPiece':
				return this.follow(() => this.following.piece(from, body.value, now))
			case 'appendReply':
				return this.isLeader && known && this.leadership.appendReply(known, body.value, now)
			case 'snapshotReply':
				return this.isLeader && known && this.leadership.snapshotReply(known, body.value, now)
			case 'timeoutNow':
				return this.state.leader === from && this.election.takeOver(now)
			case 'probe':
			case 'probeReply':
				return
			default:
				return exhaustive(body)
		}
	}

	/** Keeps the leader's idea of what is stored in step with entries that were replaced. */
	private follow(step: () => void): void {
		const before = this.state.log.lastIndex
		const beforeTerm = this.state.log.lastTerm
		step()
		if (this.state.log.termAt(before) !== beforeTerm) this.leadership.truncated(this.state.commit)
	}

	/** @returns whether the message is of the current term, or may be handled all the same. */
	private admitTerm(message: GroupMessage, now: number): boolean {
		const body = message.body
		const preVote = body?.$case === 'voteCall' && body.value.pre
		const preReply =
			body?.$case === 'voteReply' && body.value.pre && (body.value.granted || body.value.leaderless)
		if (preVote || preReply) return true
		if (message.term < this.state.term) {
			this.answerStale(message)
			return false
		}
		if (message.term === this.state.term) return true
		if (body?.$case === 'voteCall' && !this.election.mayDisturb(body.value, now)) return false
		this.state.enterTerm(message.term)
		return true
	}

	/** Lets a leader or candidate of an old term learn of the newer one. */
	private answerStale(message: GroupMessage): void {
		const body = message.body
		if (body?.$case === 'append') {
			const value = { accepted: false, index: this.state.log.lastIndex, round: body.value.round }
			this.state.sendAfterSync(message.from, { $case: 'appendReply', value })
		} else if (body?.$case === 'voteCall') {
			const value = { pre: false, granted: false, leaderless: false }
			this.state.sendAfterSync(message.from, { $case: 'voteReply', value })
		}
	}

	/** A member of an open group may have been replaced without hearing of it. */
	private asksAround(now: number): boolean {
		if (!this.state.belongs) return true
		if (!this.state.options.applicant || this.isLeader) return false
		return now - this.state.leaderHeardAt > this.state.timing.electionTimeout * ASKS_AROUND
	}

	private probe(now: number): void {
		this.probeDue = now + this.state.timing.electionTimeout
		const { applicant, founders, id } = this.state.options
		const contacts = applicant?.contacts() ?? founders.map((founder) => founder.id)
		const { durable = false, dataCentre = '' } = applicant ?? {}
		for (const contact of contacts) {
			if (contact === id) continue
			this.state.sendAfterSync(contact, { $case: 'probe', value: { durable, dataCentre } })
		}
		this.foundWhenAllBlank(now)
	}

	private answerProbe(message: GroupMessage, probe: Probe, now: number): void {
		if (this.holdsLease(now)) this.leadership.admit(message.from, message.incarnation, probe)
		const { blank, term, options, memberships } = this.state
		const value = {
			echo: message.incarnation,
			blank: blank && term === 0,
			founding: this.foundingFor(message),
			members: memberships.current.members.map((member) => member.id),
			dataCentre: options.applicant?.dataCentre ?? '',
		}
		this.state.sendAfterSync(message.from, { $case: 'probeReply', value })
	}

	private takeProbeReply(message: GroupMessage, reply: ProbeReply, now: number): void {
		const { from, incarnation } = message
		if (reply.echo !== this.state.options.incarnation) return
		for (const member of reply.members) this.state.reportedMembers.add(member)
		if (reply.blank) this.blankPeers.set(from, { incarnation, dataCentre: reply.dataCentre })
		else this.blankPeers.delete(from)
		if (reply.founding) this.joinFounding(reply.founding)
		else this.foundWhenAllBlank(now)
	}

	/** The founding membership, if the life that asks is named in it and nothing has changed since. */
	private foundingFor(message: GroupMessage): Membership | undefined {
		const { memberships } = this.state
		const named = memberships.find(message.from)?.incarnation === message.incarnation
		return named && memberships.currentIndex === 1 ? memberships.current : undefined
	}

	/** A founder that went down right after founding may have told nobody: take it up from the probe. */
	private joinFounding(membership: Membership): void {
		if (!this.state.blank || this.state.log.lastIndex > 0) return
		if (this.state.term === 0) this.state.enterTerm(1)
		const data = Membership.encode(membership).finish() as Buffer
		const kind = EntryKind.ENTRY_KIND_MEMBERSHIP
		this.state.append({ index: 1, term: 1, kind, data })
	}

	/**
	 * Only the founder that is preferred as leader founds, and only when every founder has told this very
	 * life of it that it has no membership; so a group is founded once.
	 */
	private foundWhenAllBlank(now: number): void {
		const { founders, id, incarnation, applicant } = this.state.options
		if (!this.state.blank || this.state.term !== 0) return
		const [first] = [...founders].sort(byPreference)
		if (first?.id !== id) return
		const self = { incarnation, dataCentre: applicant?.dataCentre ?? '' }
		const lives = new Map(this.blankPeers).set(id, self)
		const members: Member[] = []
		for (const founder of founders) {
			const life = lives.get(founder.id)
			if (!life) return
			members.push({ ...founder, ...life, voter: true })
		}
		this.state.enterTerm(1)
		this.state.vote(id)
		this.leadership.found(members)
		this.leadership.begin(now)
	}
}
