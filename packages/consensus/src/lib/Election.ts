/** Pre-votes, votes and the timeouts that start them. */
import type { Member, VoteCall, VoteReply } from '@rillrudder/protocol'
import { Role, type ReplicaState } from './ReplicaState'
import { LeaderlessPoll } from './LeaderlessPoll'

/** Share of `Timing.electionTimeout` in which a vote is decided: two trips and two syncs, with room for slow ones. */
const BUSY = 0.5
const DISTANT_PENALTY = 2
const DISKLESS_PENALTY = 0.5

/** Why an election may begin although a leader may have been heard lately. */
interface Reason {
	readonly transfer?: boolean
	readonly unanimous?: boolean
}

/**
 * The part of a replica that asks for votes and gives them.
 *
 * @internal
 */
export class Election {
	private grants = new Set<string>()
	private deadline = 0
	private readonly leaderlessPoll: LeaderlessPoll
	/** Until when an election that this replica takes part in may still be decided. */
	private busyUntil = Number.NEGATIVE_INFINITY

	/**
	 * @param state - the replica's state.
	 * @param lead - called when this replica has won a term.
	 */
	constructor(
		private readonly state: ReplicaState,
		private readonly lead: (now: number) => void
	) {
		this.leaderlessPoll = new LeaderlessPoll(state)
	}

	/** Waits a randomised time from now before asking for votes. */
	reset(now: number): void {
		const { timing, options } = this.state
		const wait =
			timing.electionTimeout * (1 + options.random.fraction() * timing.spread + this.penalty())
		this.deadline = now + wait
	}

	/** Asks for votes when the time has come. */
	tick(now: number): void {
		if (this.state.role === Role.Leader || !this.state.votes) return
		if (now >= this.deadline) this.prepare(now)
		else if (!this.isBusy(now) && this.leaderlessPoll.startIfDue(now))
			this.call(true, { unanimous: true })
	}

	/** Starts an election at once because the leader asked for it. */
	takeOver(now: number): void {
		if (this.state.votes) this.campaign(now, { transfer: true })
	}

	/** Answers a call for a vote. */
	answer(from: string, term: number, call: VoteCall, now: number): void {
		if (call.pre) {
			const granted = this.wouldGrant(term, call, now)
			const echoed = granted ? term : this.state.term
			const leaderless = call.unanimous && !this.isBusy(now) && this.isLeaderless(term, call)
			const value = { pre: true, granted, leaderless }
			this.state.sendAfterSync(from, { $case: 'voteReply', value }, echoed)
			return
		}
		const free = this.state.votedFor === '' || this.state.votedFor === from
		const granted = term === this.state.term && free && this.wouldGrant(term, call, now)
		if (granted) {
			this.state.vote(from)
			this.reset(now)
			this.beBusy(now)
		}
		const value = { pre: false, granted, leaderless: false }
		this.state.sendAfterSync(from, { $case: 'voteReply', value })
	}

	/** Whether a call for a vote may make this replica enter the caller's term. */
	mayDisturb(call: VoteCall, now: number): boolean {
		if (call.unanimous && !this.state.knewLeader && !this.isBusy(now)) return true
		return call.transfer || !this.leaderIsFresh(now)
	}

	/** Counts an answer. */
	count(from: Member, term: number, reply: VoteReply, now: number): void {
		if (reply.leaderless && !this.isBusy(now) && this.leaderlessPoll.recordLeaderless(from.id)) {
			this.campaign(now, { unanimous: true })
			return
		}
		if (!reply.granted) return
		const awaited = reply.pre ? Role.PreCandidate : Role.Candidate
		const expected = reply.pre ? this.state.term + 1 : this.state.term
		if (this.state.role !== awaited || term !== expected) return
		this.grants.add(from.id)
		this.proceed(now)
	}

	private prepare(now: number): void {
		this.state.role = Role.PreCandidate
		this.state.leader = ''
		this.reset(now)
		this.grants = new Set([this.state.options.id])
		this.call(true, {})
		this.proceed(now)
	}

	private campaign(now: number, reason: Reason): void {
		this.state.enterTerm(this.state.term + 1)
		this.state.vote(this.state.options.id)
		this.state.role = Role.Candidate
		this.reset(now)
		this.beBusy(now)
		this.grants = new Set([this.state.options.id])
		this.call(false, reason)
		this.proceed(now)
	}

	/** A vote that was just given, or asked for, is not disturbed by another election. */
	private beBusy(now: number): void {
		this.busyUntil = now + this.state.timing.electionTimeout * BUSY
	}

	private isBusy(now: number): boolean {
		return now < this.busyUntil
	}

	private proceed(now: number): void {
		const voters = this.state.memberships.voters
		const granted = voters.filter((voter) => this.grants.has(voter.id)).length
		if (granted * 2 <= voters.length) return
		if (this.state.role === Role.PreCandidate) this.campaign(now, {})
		else if (this.state.role === Role.Candidate) this.lead(now)
	}

	private call(pre: boolean, { transfer = false, unanimous = false }: Reason): void {
		const { log, term, memberships, options } = this.state
		const { lastIndex, lastTerm } = log
		const value = { pre, transfer, unanimous, lastIndex, lastTerm }
		for (const voter of memberships.voters) {
			if (voter.id === options.id) continue
			this.state.sendAfterSync(voter.id, { $case: 'voteCall', value }, pre ? term + 1 : term)
		}
	}

	/**
	 * A learner votes too when it is asked: the caller may know of a later membership in which it is a
	 * voter, and counts only the votes of its own voters.
	 */
	private wouldGrant(term: number, call: VoteCall, now: number): boolean {
		if (!this.state.belongs) return false
		const excused = call.transfer || (call.unanimous && !call.pre && !this.state.knewLeader)
		if (!excused && this.leaderIsFresh(now)) return false
		// While a vote that was just given may still decide a term, support for the next one would undo it.
		if (call.pre && (term <= this.state.term || this.isBusy(now))) return false
		return this.isAsComplete(call)
	}

	/** Whether this process knows of no leader since it started, and would vote for the caller. */
	private isLeaderless(term: number, call: VoteCall): boolean {
		const { belongs, knewLeader, term: own } = this.state
		return belongs && !knewLeader && term > own && this.isAsComplete(call)
	}

	/** Whether the caller's log has everything that this one has. */
	private isAsComplete(call: VoteCall): boolean {
		const { lastIndex, lastTerm } = this.state.log
		if (call.lastTerm !== lastTerm) return call.lastTerm > lastTerm
		return call.lastIndex >= lastIndex
	}

	/** A leader counts itself as fresh: only its own lease decides when it gives way. */
	private leaderIsFresh(now: number): boolean {
		if (this.state.role === Role.Leader) return true
		return now - this.state.leaderHeardAt < this.state.timing.electionTimeout
	}

	private penalty(): number {
		const self = this.state.memberships.find(this.state.options.id)
		if (!self) return 0
		return (self.local ? 0 : DISTANT_PENALTY) + (self.durable ? 0 : DISKLESS_PENALTY)
	}
}
