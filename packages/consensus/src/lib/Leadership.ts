/** A leader's part: replication, commitment, the lease, repair of the membership, handing over. */
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

const MOST_ENTRIES = 512
/** Bytes of one message; a follower that is far behind is sent the next one when it has answered. */
const MOST_BYTES = 128 * 1024
const MOST_AHEAD = 8192
const PIECE_BYTES = 64 * 1024
/** Spans of `Timing.electionTimeout` for which a leader leads before it gives way to a preferred one. */
const SETTLED = 3

/**
 * The part of a replica that leads a term.
 *
 * @internal
 */
export class Leadership {
	private readonly rounds = new HeartbeatRounds()
	private readonly peers = new Map<string, Progress>()
	private stored = 0
	private since = 0
	private heartbeatDue = 0
	private firstIndexOfTerm = 0
	private handingTo = ''
	private handingSince = 0
	private leaseGivenUp = false
	/** Answers to what was sent before this moment do not count for the lease. */
	private doubtedAt = Number.NEGATIVE_INFINITY

	constructor(private readonly state: ReplicaState) {}

	/** Whether leadership is being handed over, so that nothing new is taken. */
	get handing(): boolean {
		return this.handingTo !== ''
	}

	/** Starts to lead the term that was won. */
	begin(now: number): void {
		const { state } = this
		state.role = Role.Leader
		state.leader = state.options.id
		state.knewLeader = true
		state.options.safetyChecker?.onElected(state.term, state.replicaKey)
		this.since = now
		this.handingTo = ''
		this.leaseGivenUp = false
		this.peers.clear()
		this.stored = Math.min(this.stored, state.log.lastIndex)
		this.firstIndexOfTerm = state.log.lastIndex + 1
		this.appendOwn(EntryKind.ENTRY_KIND_BLANK, new Uint8Array(0))
		this.heartbeat(now)
	}

	/** Founds the group: the membership is its first entry. */
	found(members: Member[]): void {
		this.appendOwn(EntryKind.ENTRY_KIND_MEMBERSHIP, Membership.encode({ members }).finish())
	}

	/**
	 * @returns the index of the first of the entries, or undefined when none are taken now.
	 */
	propose(commands: readonly Uint8Array[], now: number): number | undefined {
		if (this.handing) return undefined
		const first = this.state.log.lastIndex + 1
		for (const command of commands) this.appendOwn(EntryKind.ENTRY_KIND_COMMAND, command)
		this.replicate(now)
		return first
	}

	/** Everything up to this index is lasting here. */
	onPersisted(index: number): void {
		this.stored = Math.max(this.stored, index)
		if (this.state.role === Role.Leader) this.advanceCommit()
	}

	/** What was stored above this index has been replaced. */
	truncated(index: number): void {
		this.stored = Math.min(this.stored, index)
	}

	/** Heartbeats, repair, and giving way. */
	tick(now: number): void {
		if (now >= this.heartbeatDue) this.heartbeat(now)
		if (this.handing) this.continueHanding(now)
		else this.preferBetterLeader(now)
		if (this.state.options.applicant) this.reviewMembers(now)
		else this.promoteCaughtUp()
		this.stepDownWhenCutOff(now)
	}

	/** Whether no other leader can have been elected yet. */
	holdsLease(now: number): boolean {
		if (this.leaseGivenUp) return false
		return this.confirmedAt(now) >= this.doubtedAt && now < this.leaseEnd(now)
	}

	/** Time may have passed that the clock did not count: the lease holds again once a majority has answered anew. */
	revalidateLease(now: number): void {
		this.doubtedAt = now
		this.heartbeat(now)
	}

	/** When the lease ends unless it is renewed. */
	leaseEnd(now: number): number {
		return this.confirmedAt(now) + leaseDuration(this.state.timing)
	}

	/** When the latest heartbeat was sent that a majority has answered. */
	private confirmedAt(now: number): number {
		const { voters } = this.state.memberships
		const self = this.state.options.id
		const answered = voters.map(({ id }) =>
			id === self ? now : (this.peers.get(id)?.answeredSentAt ?? Number.NEGATIVE_INFINITY)
		)
		return answered.length === 0 ? Number.NEGATIVE_INFINITY : majorityValue(answered)
	}

	/** Whether an entry of this term is committed, so that the state is the group's latest. */
	get current(): boolean {
		return this.state.commit >= this.firstIndexOfTerm
	}

	/** Takes an answer to an append. */
	appendReply(from: Member, reply: AppendReply, now: number): void {
		const peer = this.progress(from.id)
		this.answered(peer, reply.round)
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

	/** Takes an answer to a piece of a snapshot. */
	snapshotReply(from: Member, reply: SnapshotReply, now: number): void {
		const peer = this.progress(from.id)
		this.answered(peer, reply.round)
		if (peer.mode !== ReplicationMode.Snapshot) return
		if (reply.installed) {
			peer.onAccepted(reply.index)
			this.replicateTo(from.id, now)
		} else if (reply.index === this.state.snapshot?.index) {
			peer.snapshotOffset = reply.offset
			this.sendPiece(from.id, peer, now)
		}
	}

	/** Takes a life into the group, or back into it, without a vote until it has caught up. */
	admit(id: string, incarnation: string, probe: Probe): void {
		const known = this.state.memberships.find(id)
		if (known?.incarnation === incarnation || !this.mayChangeMembership()) return
		const terms = this.termsFor(id, probe)
		if (!terms) return
		this.changeMembership({ id, incarnation, voter: false, ...terms })
		this.peers.delete(id)
	}

	/** @returns what an instance is admitted as; undefined when it is not. */
	private termsFor(id: string, probe: Probe) {
		const { applicant, founders } = this.state.options
		const { durable, dataCentre } = probe
		if (applicant) return durable ? { durable, local: true, dataCentre } : undefined
		const founder = founders.find((one) => one.id === id)
		return founder && { durable: founder.durable, local: founder.local, dataCentre: '' }
	}

	/** Hands leadership to a voter that has caught up; anything but the best is refused. */
	transferTo(id: string, now: number): boolean {
		const member = this.state.memberships.find(id)
		if (!member?.voter || id === this.state.options.id || this.handing) return false
		this.handingTo = id
		this.handingSince = now
		this.replicate(now)
		this.continueHanding(now)
		return true
	}

	/** The voter that should take over from this one on a planned stop; empty when there is none. */
	successor(now: number): string {
		const fresh = this.freshVoters(now)
		return fresh.sort(byPreference)[0]?.id ?? ''
	}

	private heartbeat(now: number): void {
		this.heartbeatDue = now + this.state.timing.heartbeatInterval
		this.replicate(now, true)
	}

	private replicate(now: number, always = false): void {
		const round = this.rounds.start(now)
		for (const member of this.state.memberships.current.members) {
			if (member.id === this.state.options.id) continue
			const peer = this.progress(member.id)
			const news = peer.mode === ReplicationMode.Streaming && peer.next <= this.state.log.lastIndex
			if (always || news) this.send(member.id, peer, round, now)
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
		const ahead = peer.next - peer.match > MOST_AHEAD
		const most = ahead ? 0 : peer.mode === ReplicationMode.Probing ? 1 : MOST_ENTRIES
		const entries = log.slice(peer.next, most, MOST_BYTES)
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
		const data = snapshot.data.subarray(offset, offset + PIECE_BYTES)
		const last = offset + data.length === snapshot.data.length
		peer.snapshotSentAt = now
		const { index, term, membership } = snapshot
		const round = this.rounds.start(now)
		const value = { index, term, membership, offset, data: Buffer.from(data), last, round }
		this.state.sendImmediately(id, { $case: 'snapshotPiece', value })
	}

	private answered(peer: Progress, round: number): void {
		const sent = this.rounds.sendTime(round)
		if (sent !== undefined) peer.answeredSentAt = Math.max(peer.answeredSentAt, sent)
	}

	private advanceCommit(): void {
		const { log, memberships, options } = this.state
		const reached = memberships.voters.map((voter) =>
			voter.id === options.id ? this.stored : this.progress(voter.id).match
		)
		if (reached.length === 0) return
		const index = majorityValue(reached)
		if (index <= this.state.commit || log.termAt(index) !== this.state.term) return
		this.state.commitTo(index)
	}

	private appendOwn(kind: EntryKind, data: Uint8Array): void {
		const { log, term } = this.state
		this.state.append({ index: log.lastIndex + 1, term, kind, data: data as Buffer })
	}

	private mayChangeMembership(): boolean {
		return this.current && !this.handing && this.state.memberships.currentIndex <= this.state.commit
	}

	private changeMembership(changed: Member): void {
		const others = this.state.memberships.current.members.filter((one) => one.id !== changed.id)
		const data = Membership.encode({ members: [...others, changed] }).finish()
		this.appendOwn(EntryKind.ENTRY_KIND_MEMBERSHIP, data)
	}

	/** Keeps the voters of an open membership as many and as alive as they should be. */
	private reviewMembers(now: number): void {
		if (!this.mayChangeMembership()) return
		const self = this.state.options.id
		const seats = this.state.memberships.current.members.map((member) => this.seat(member, now))
		const change = nextMembershipChange(seats, self)
		if (change?.kind === 'set') this.changeMembership(change.member)
		if (change?.kind === 'drop') this.dropMember(change.id)
	}

	private seat(member: Member, now: number): MemberHealth {
		if (member.id === this.state.options.id) return { member, sinceContactMs: 0, caughtUp: true }
		const { answeredSentAt: answeredSince, match } = this.progress(member.id)
		const silence = now - Math.max(answeredSince, this.since)
		return { member, sinceContactMs: silence, caughtUp: match >= this.state.commit }
	}

	private dropMember(id: string): void {
		const members = this.state.memberships.current.members.filter((one) => one.id !== id)
		this.appendOwn(EntryKind.ENTRY_KIND_MEMBERSHIP, Membership.encode({ members }).finish())
		this.peers.delete(id)
	}

	private promoteCaughtUp(): void {
		if (!this.mayChangeMembership()) return
		const ready = this.state.memberships.current.members.find(
			(member) => !member.voter && this.progress(member.id).match >= this.state.commit
		)
		if (ready) this.changeMembership({ ...ready, voter: true })
	}

	private preferBetterLeader(now: number): void {
		const { timing, options, memberships } = this.state
		if (now - this.since < timing.electionTimeout * SETTLED) return
		const self = memberships.find(options.id)
		const best = memberships.find(this.successor(now))
		if (!self || !best || preferenceOf(best) <= preferenceOf(self)) return
		if (this.progress(best.id).match === this.state.log.lastIndex) this.transferTo(best.id, now)
	}

	private continueHanding(now: number): void {
		const { state } = this
		if (now - this.handingSince > state.timing.electionTimeout) {
			// A call to take over may still be on its way, so the lease can't be taken up again.
			this.stepDown()
			return
		}
		if (this.leaseGivenUp || this.progress(this.handingTo).match < state.log.lastIndex) return
		this.leaseGivenUp = true
		state.options.safetyChecker?.onLeaseReleased(state.replicaKey)
		state.sendImmediately(this.handingTo, { $case: 'timeoutNow', value: {} })
	}

	private stepDownWhenCutOff(now: number): void {
		if (now - this.since < this.state.timing.electionTimeout * SETTLED) return
		if (now - this.leaseEnd(now) > this.state.timing.electionTimeout) this.stepDown()
	}

	private stepDown(): void {
		this.state.role = Role.Follower
		this.state.leader = ''
		this.handingTo = ''
	}

	private freshVoters(now: number): Member[] {
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
