/** The leader role: replication, commit, the lease, membership changes and leadership transfer. */
import { invariant } from '@rillrudder/utils'
import {
	EntryKind,
	Membership,
	type AppendReply,
	type Member,
	type Probe,
	type SnapshotReply,
} from '@rillrudder/protocol'
import { HeartbeatRounds } from './HeartbeatRounds'
import { majorityValue } from './MembershipHistory'
import { leaseDuration } from './Timing'
import { byPreference, preferenceOf } from './preference'
import { ReplicationMode, Progress } from './Progress'
import { nextMembershipChange, type MemberHealth } from './nextMembershipChange'
import { Role, type ReplicaState } from './ReplicaState'

const MAX_ENTRIES_PER_MESSAGE = 512
/**
 * Limit of one message's entries; a follower that is far behind gets the next message after its
 * answer.
 */
const MAX_BYTES_PER_MESSAGE = 128 * 1024
const MAX_UNACKNOWLEDGED_ENTRIES = 8192
const SNAPSHOT_PIECE_BYTES = 64 * 1024
/**
 * Election timeouts that pass before a leader transfers to a preferred one, or steps down without a
 * majority.
 */
const SETTLING_ELECTION_TIMEOUTS = 3

/**
 * Leads a group for one term.
 *
 * @internal
 */
export class Leadership {
	private readonly rounds = new HeartbeatRounds()
	private readonly peers = new Map<string, Progress>()
	private persistedIndex = 0
	private startedAt = 0
	private nextHeartbeatAt = 0
	private firstIndexOfTerm = 0
	private transferTarget = ''
	private transferStartedAt = 0
	private hasReleasedLease = false
	/** Answers to messages sent before this time do not count for the lease. */
	private leaseDoubtedAt = Number.NEGATIVE_INFINITY

	constructor(private readonly state: ReplicaState) {}

	/** Whether leadership is being transferred, so that proposals are refused. */
	get isTransferring(): boolean {
		return this.transferTarget !== ''
	}

	/** Becomes leader of the current term. */
	start(now: number): void {
		const { state } = this
		state.role = Role.Leader
		state.leader = state.options.id
		state.hasKnownLeader = true
		state.options.safetyChecker?.onElected(state.term, state.replicaKey)
		this.startedAt = now
		this.transferTarget = ''
		this.hasReleasedLease = false
		this.peers.clear()
		this.persistedIndex = Math.min(this.persistedIndex, state.log.lastIndex)
		this.firstIndexOfTerm = state.log.lastIndex + 1
		this.appendNew(EntryKind.ENTRY_KIND_BLANK, new Uint8Array(0))
		this.heartbeat(now)
	}

	/** Founds the group: its first entry is the membership. */
	foundGroup(members: Member[]): void {
		this.appendNew(EntryKind.ENTRY_KIND_MEMBERSHIP, Membership.encode({ members }).finish())
	}

	/**
	 * Appends commands to the log and replicates them.
	 *
	 * @returns the index of the first entry, or undefined while leadership is being transferred.
	 */
	propose(commands: readonly Uint8Array[], now: number): number | undefined {
		if (this.isTransferring) return undefined
		const first = this.state.log.lastIndex + 1
		for (const command of commands) this.appendNew(EntryKind.ENTRY_KIND_COMMAND, command)
		this.replicate(now)
		return first
	}

	/** Notes that all entries up to this index are on this replica's disk. */
	onPersisted(index: number): void {
		this.persistedIndex = Math.max(this.persistedIndex, index)
		if (this.state.role === Role.Leader) this.advanceCommit()
	}

	/** Notes that the entries above this index have been replaced. */
	onTruncated(index: number): void {
		this.persistedIndex = Math.min(this.persistedIndex, index)
	}

	/** Sends heartbeats, changes the membership, and transfers or gives up leadership when due. */
	tick(now: number): void {
		if (now >= this.nextHeartbeatAt) this.heartbeat(now)
		if (this.isTransferring) this.continueTransfer(now)
		else this.transferToPreferred(now)
		if (this.state.options.applicant) this.reviewMembers(now)
		else this.promoteCaughtUp()
		this.stepDownIfPartitioned(now)
	}

	/** Whether no other leader can have been elected yet. */
	holdsLease(now: number): boolean {
		if (this.hasReleasedLease) return false
		return this.confirmedAt(now) >= this.leaseDoubtedAt && now < this.leaseEnd(now)
	}

	/**
	 * Suspends the lease until a majority has answered again, as time may have passed that the clock did
	 * not count.
	 */
	revalidateLease(now: number): void {
		this.leaseDoubtedAt = now
		this.heartbeat(now)
	}

	/** When the lease ends unless it is renewed. */
	leaseEnd(now: number): number {
		return this.confirmedAt(now) + leaseDuration(this.state.timing)
	}

	/** The send time of the latest heartbeat that a majority has answered. */
	private confirmedAt(now: number): number {
		const { voters } = this.state.memberships
		const self = this.state.options.id
		const answered = voters.map(({ id }) =>
			id === self ? now : (this.peers.get(id)?.answeredSentAt ?? Number.NEGATIVE_INFINITY)
		)
		return answered.length === 0 ? Number.NEGATIVE_INFINITY : majorityValue(answered)
	}

	/** Whether an entry of this term is committed, so that the state is the group's latest. */
	get isCurrent(): boolean {
		return this.state.commit >= this.firstIndexOfTerm
	}

	/** Handles the answer to an append. */
	onAppendReply(from: Member, reply: AppendReply, now: number): void {
		const peer = this.progress(from.id)
		this.recordAnswer(peer, reply.round)
		if (reply.accepted) {
			const caughtUp = peer.mode === ReplicationMode.Streaming
			peer.onAccepted(reply.index)
			this.advanceCommit()
			if (!caughtUp || peer.next <= this.state.log.lastIndex) this.replicateTo(from.id, now)
		} else if (reply.index < peer.next - 1) {
			peer.onRejected(reply.index)
			this.replicateTo(from.id, now)
		}
	}

	/** Handles the answer to a piece of a snapshot. */
	onSnapshotReply(from: Member, reply: SnapshotReply, now: number): void {
		const peer = this.progress(from.id)
		this.recordAnswer(peer, reply.round)
		if (peer.mode !== ReplicationMode.Snapshot) return
		if (reply.installed) {
			peer.onAccepted(reply.index)
			this.replicateTo(from.id, now)
		} else if (reply.index === this.state.snapshot?.index) {
			peer.snapshotOffset = reply.offset
			this.sendPiece(from.id, peer, now)
		}
	}

	/** Admits an incarnation of an instance as a learner; it becomes a voter once it has caught up. */
	admit(id: string, incarnation: string, probe: Probe): void {
		const known = this.state.memberships.find(id)
		if (known?.incarnation === incarnation || !this.canChangeMembership()) return
		const fields = this.admissionFieldsFor(id, probe)
		if (!fields) return
		this.setMember({ id, incarnation, voter: false, ...fields })
		this.peers.delete(id)
	}

	/** @returns the member fields for an applying instance; undefined when it is not admitted. */
	private admissionFieldsFor(id: string, probe: Probe) {
		const { applicant, founders } = this.state.options
		const { durable, dataCentre } = probe
		if (applicant) return durable ? { durable, local: true, dataCentre } : undefined
		const founder = founders.find((one) => one.id === id)
		return founder && { durable: founder.durable, local: founder.local, dataCentre: '' }
	}

	/**
	 * Starts to transfer leadership to another voter; it takes over once it has caught up.
	 *
	 * @returns whether the transfer has started.
	 */
	transferTo(id: string, now: number): boolean {
		const member = this.state.memberships.find(id)
		if (!member?.voter || id === this.state.options.id || this.isTransferring) return false
		this.transferTarget = id
		this.transferStartedAt = now
		this.replicate(now)
		this.continueTransfer(now)
		return true
	}

	/** @returns the reachable voter that is preferred as the next leader; empty when there is none. */
	findSuccessor(now: number): string {
		const recent = this.recentlyAnsweringVoters(now)
		return recent.sort(byPreference)[0]?.id ?? ''
	}

	private heartbeat(now: number): void {
		this.nextHeartbeatAt = now + this.state.timing.heartbeatInterval
		this.replicate(now, true)
	}

	private replicate(now: number, isHeartbeat = false): void {
		const round = this.rounds.start(now)
		for (const member of this.state.memberships.current.members) {
			if (member.id === this.state.options.id) continue
			const peer = this.progress(member.id)
			const hasNewEntries =
				peer.mode === ReplicationMode.Streaming && peer.next <= this.state.log.lastIndex
			if (isHeartbeat || hasNewEntries) this.send(member.id, peer, round, now)
		}
	}

	private replicateTo(id: string, now: number): void {
		this.send(id, this.progress(id), this.rounds.start(now), now)
	}

	private send(id: string, peer: Progress, round: number, now: number): void {
		const { log } = this.state
		if (peer.next < log.firstIndex && log.termAt(peer.next - 1) === undefined) {
			this.sendSnapshot(id, peer, now)
			return
		}
		const isWindowFull = peer.next - peer.match > MAX_UNACKNOWLEDGED_ENTRIES
		const maxEntries = isWindowFull
			? 0
			: peer.mode === ReplicationMode.Probing
				? 1
				: MAX_ENTRIES_PER_MESSAGE
		const entries = log.slice(peer.next, maxEntries, MAX_BYTES_PER_MESSAGE)
		const previousIndex = peer.next - 1
		const previousTerm = log.termAt(previousIndex) ?? 0
		if (peer.mode === ReplicationMode.Streaming) peer.next += entries.length
		const value = { previousIndex, previousTerm, commit: this.state.commit, entries, round }
		this.state.sendImmediately(id, { $case: 'append', value })
	}

	private sendSnapshot(id: string, peer: Progress, now: number): void {
		if (peer.mode !== ReplicationMode.Snapshot) {
			peer.mode = ReplicationMode.Snapshot
			peer.snapshotOffset = 0
		} else if (now - peer.snapshotSentAt < this.state.timing.electionTimeout) {
			return
		}
		this.sendPiece(id, peer, now)
	}

	private sendPiece(id: string, peer: Progress, now: number): void {
		const { snapshot } = this.state
		invariant(snapshot !== undefined, 'a compacted log has a snapshot')
		const offset = Math.min(peer.snapshotOffset, snapshot.data.length)
		const data = snapshot.data.subarray(offset, offset + SNAPSHOT_PIECE_BYTES)
		const last = offset + data.length === snapshot.data.length
		peer.snapshotSentAt = now
		const { index, term, membership } = snapshot
		const round = this.rounds.start(now)
		const value = { index, term, membership, offset, data: Buffer.from(data), last, round }
		this.state.sendImmediately(id, { $case: 'snapshotPiece', value })
	}

	private recordAnswer(peer: Progress, round: number): void {
		const sent = this.rounds.sendTime(round)
		if (sent !== undefined) peer.answeredSentAt = Math.max(peer.answeredSentAt, sent)
	}

	private advanceCommit(): void {
		const { log, memberships, options } = this.state
		const reached = memberships.voters.map((voter) =>
			voter.id === options.id ? this.persistedIndex : this.progress(voter.id).match
		)
		if (reached.length === 0) return
		const index = majorityValue(reached)
		if (index <= this.state.commit || log.termAt(index) !== this.state.term) return
		this.state.commitTo(index)
	}

	private appendNew(kind: EntryKind, data: Uint8Array): void {
		const { log, term } = this.state
		this.state.append({ index: log.lastIndex + 1, term, kind, data: data as Buffer })
	}

	private canChangeMembership(): boolean {
		return (
			this.isCurrent &&
			!this.isTransferring &&
			this.state.memberships.currentIndex <= this.state.commit
		)
	}

	private setMember(changed: Member): void {
		const others = this.state.memberships.current.members.filter((one) => one.id !== changed.id)
		const data = Membership.encode({ members: [...others, changed] }).finish()
		this.appendNew(EntryKind.ENTRY_KIND_MEMBERSHIP, data)
	}

	/** Keeps an open membership at the right number of reachable voters, one change at a time. */
	private reviewMembers(now: number): void {
		if (!this.canChangeMembership()) return
		const self = this.state.options.id
		const members = this.state.memberships.current.members.map((member) =>
			this.healthOf(member, now)
		)
		const change = nextMembershipChange(members, self)
		if (change?.kind === 'set') this.setMember(change.member)
		if (change?.kind === 'drop') this.dropMember(change.id)
	}

	private healthOf(member: Member, now: number): MemberHealth {
		if (member.id === this.state.options.id) return { member, sinceContactMs: 0, caughtUp: true }
		const { answeredSentAt, match } = this.progress(member.id)
		const sinceContactMs = now - Math.max(answeredSentAt, this.startedAt)
		return { member, sinceContactMs, caughtUp: match >= this.state.commit }
	}

	private dropMember(id: string): void {
		const members = this.state.memberships.current.members.filter((one) => one.id !== id)
		this.appendNew(EntryKind.ENTRY_KIND_MEMBERSHIP, Membership.encode({ members }).finish())
		this.peers.delete(id)
	}

	private promoteCaughtUp(): void {
		if (!this.canChangeMembership()) return
		const ready = this.state.memberships.current.members.find(
			(member) => !member.voter && this.progress(member.id).match >= this.state.commit
		)
		if (ready) this.setMember({ ...ready, voter: true })
	}

	private transferToPreferred(now: number): void {
		const { timing, options, memberships } = this.state
		if (now - this.startedAt < timing.electionTimeout * SETTLING_ELECTION_TIMEOUTS) return
		const self = memberships.find(options.id)
		const best = memberships.find(this.findSuccessor(now))
		if (!self || !best || preferenceOf(best) <= preferenceOf(self)) return
		if (this.progress(best.id).match === this.state.log.lastIndex) this.transferTo(best.id, now)
	}

	private continueTransfer(now: number): void {
		const { state } = this
		if (now - this.transferStartedAt > state.timing.electionTimeout) {
			// The request to take over may still be in transit, so the lease must not be resumed.
			this.stepDown()
			return
		}
		if (this.hasReleasedLease || this.progress(this.transferTarget).match < state.log.lastIndex)
			return
		this.hasReleasedLease = true
		state.options.safetyChecker?.onLeaseReleased(state.replicaKey)
		state.sendImmediately(this.transferTarget, { $case: 'timeoutNow', value: {} })
	}

	private stepDownIfPartitioned(now: number): void {
		if (now - this.startedAt < this.state.timing.electionTimeout * SETTLING_ELECTION_TIMEOUTS)
			return
		if (now - this.leaseEnd(now) > this.state.timing.electionTimeout) this.stepDown()
	}

	private stepDown(): void {
		this.state.role = Role.Follower
		this.state.leader = ''
		this.transferTarget = ''
	}

	private recentlyAnsweringVoters(now: number): Member[] {
		const { memberships, options, timing } = this.state
		return memberships.voters.filter((voter) => {
			const answered = this.peers.get(voter.id)?.answeredSentAt ?? Number.NEGATIVE_INFINITY
			return voter.id !== options.id && now - answered < timing.electionTimeout
		})
	}

	private progress(id: string): Progress {
		let peer = this.peers.get(id)
		if (!peer) {
			peer = new Progress(this.state.log.lastIndex + 1)
			this.peers.set(id, peer)
		}
		return peer
	}
}
