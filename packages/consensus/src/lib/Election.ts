/** Pre-votes, votes and the election timeouts that start them. */
import type { Member, VoteCall, VoteReply } from '@rillrudder/protocol'
import { Role, type ReplicaState } from './ReplicaState'
import { LeaderlessPoll } from './LeaderlessPoll'

/**
 * Share of `Timing.electionTimeout` within which a vote is decided: two network trips and two disk
 * syncs, with a margin for slow ones.
 */
const VOTE_DURATION_SHARE = 0.5
/** Added to the wait of a voter outside the group's data centre, in election timeouts. */
const DISTANT_PENALTY = 2
/** Added to the wait of a voter without a disk, in election timeouts. */
const DISKLESS_PENALTY = 0.5

/** Why an election may start although a leader may have been heard recently. */
interface CampaignReason {
	readonly transfer?: boolean
	readonly unanimous?: boolean
}

/**
 * Requests votes and answers vote requests.
 *
 * @internal
 */
export class Election {
	private grants = new Set<string>()
	private deadline = 0
	private readonly leaderlessPoll: LeaderlessPoll
	/** Until when an election in which this replica voted may still be decided. */
	private undecidedUntil = Number.NEGATIVE_INFINITY

	/**
	 * @param state - the replica's state.
	 * @param onElected - called when this replica has won an election.
	 */
	constructor(
		private readonly state: ReplicaState,
		private readonly onElected: (now: number) => void
	) {
		this.leaderlessPoll = new LeaderlessPoll(state)
	}

	/** Restarts the randomised wait before this replica asks for votes. */
	resetTimeout(now: number): void {
		const { timing, options } = this.state
		const wait =
			timing.electionTimeout *
			(1 + options.random.fraction() * timing.spread + this.timeoutPenalty())
		this.deadline = now + wait
	}

	/** Starts a pre-vote once the election timeout has passed, or polls for a missing leader. */
	tick(now: number): void {
		if (this.state.role === Role.Leader || !this.state.isVoter) return
		if (now >= this.deadline) this.startPreVote(now)
		else if (!this.isUndecided(now) && this.leaderlessPoll.startIfDue(now))
			this.requestVotes(true, { unanimous: true })
	}

	/** Starts an election at once, on the leader's request to take over. */
	takeOver(now: number): void {
		if (this.state.isVoter) this.campaign(now, { transfer: true })
	}

	/** Answers a vote request. */
	onVoteCall(from: string, term: number, call: VoteCall, now: number): void {
		if (call.pre) {
			const granted = this.canGrant(term, call, now)
			const echoed = granted ? term : this.state.term
			const leaderless = call.unanimous && !this.isUndecided(now) && this.isLeaderless(term, call)
			const value = { pre: true, granted, leaderless }
			this.state.sendAfterSync(from, { $case: 'voteReply', value }, echoed)
			return
		}
		const isVoteFree = this.state.votedFor === '' || this.state.votedFor === from
		const granted = term === this.state.term && isVoteFree && this.canGrant(term, call, now)
		if (granted) {
			this.state.vote(from)
			this.resetTimeout(now)
			this.markUndecided(now)
		}
		const value = { pre: false, granted, leaderless: false }
		this.state.sendAfterSync(from, { $case: 'voteReply', value })
	}

	/** Whether a vote request may make this replica enter the caller's term. */
	shouldEnterTerm(call: VoteCall, now: number): boolean {
		if (call.unanimous && !this.state.hasKnownLeader && !this.isUndecided(now)) return true
		return call.transfer || !this.hasRecentLeader(now)
	}

	/** Counts a reply to a vote request, and campaigns or becomes leader on a majority. */
	onVoteReply(from: Member, term: number, reply: VoteReply, now: number): void {
		if (
			reply.leaderless &&
			!this.isUndecided(now) &&
			this.leaderlessPoll.recordLeaderless(from.id)
		) {
			this.campaign(now, { unanimous: true })
			return
		}
		if (!reply.granted) return
		const awaited = reply.pre ? Role.PreCandidate : Role.Candidate
		const expected = reply.pre ? this.state.term + 1 : this.state.term
		if (this.state.role !== awaited || term !== expected) return
		this.grants.add(from.id)
		this.checkMajority(now)
	}

	private startPreVote(now: number): void {
		this.state.role = Role.PreCandidate
		this.state.leader = ''
		this.resetTimeout(now)
		this.grants = new Set([this.state.options.id])
		this.requestVotes(true, {})
		this.checkMajority(now)
	}

	private campaign(now: number, reason: CampaignReason): void {
		this.state.enterTerm(this.state.term + 1)
		this.state.vote(this.state.options.id)
		this.state.role = Role.Candidate
		this.resetTimeout(now)
		this.markUndecided(now)
		this.grants = new Set([this.state.options.id])
		this.requestVotes(false, reason)
		this.checkMajority(now)
	}

	/** Keeps another election from interrupting a vote that was just granted or requested. */
	private markUndecided(now: number): void {
		this.undecidedUntil = now + this.state.timing.electionTimeout * VOTE_DURATION_SHARE
	}

	private isUndecided(now: number): boolean {
		return now < this.undecidedUntil
	}

	private checkMajority(now: number): void {
		const voters = this.state.memberships.voters
		const granted = voters.filter((voter) => this.grants.has(voter.id)).length
		if (granted * 2 <= voters.length) return
		if (this.state.role === Role.PreCandidate) this.campaign(now, {})
		else if (this.state.role === Role.Candidate) this.onElected(now)
	}

	private requestVotes(
		pre: boolean,
		{ transfer = false, unanimous = false }: CampaignReason
	): void {
		const { log, term, memberships, options } = this.state
		const { lastIndex, lastTerm } = log
		const value = { pre, transfer, unanimous, lastIndex, lastTerm }
		for (const voter of memberships.voters) {
			if (voter.id === options.id) continue
			this.state.sendAfterSync(voter.id, { $case: 'voteCall', value }, pre ? term + 1 : term)
		}
	}

	/**
	 * A learner grants votes too: the caller may know of a later membership in which this replica is a
	 * voter, and counts only the votes of its own voters.
	 */
	private canGrant(term: number, call: VoteCall, now: number): boolean {
		if (!this.state.isMember) return false
		const isExempt = call.transfer || (call.unanimous && !call.pre && !this.state.hasKnownLeader)
		if (!isExempt && this.hasRecentLeader(now)) return false
		// While a vote that was just granted may still decide its term, supporting the next term would
		// undo it.
		if (call.pre && (term <= this.state.term || this.isUndecided(now))) return false
		return this.isUpToDate(call)
	}

	/** Whether this process has known no leader since it started and would vote for the caller. */
	private isLeaderless(term: number, call: VoteCall): boolean {
		const { isMember, hasKnownLeader, term: own } = this.state
		return isMember && !hasKnownLeader && term > own && this.isUpToDate(call)
	}

	/** Whether the caller's log is at least as up to date as this one. */
	private isUpToDate(call: VoteCall): boolean {
		const { lastIndex, lastTerm } = this.state.log
		if (call.lastTerm !== lastTerm) return call.lastTerm > lastTerm
		return call.lastIndex >= lastIndex
	}

	/** Always true on a leader: only its own lease decides when it steps down. */
	private hasRecentLeader(now: number): boolean {
		if (this.state.role === Role.Leader) return true
		return now - this.state.leaderHeardAt < this.state.timing.electionTimeout
	}

	private timeoutPenalty(): number {
		const self = this.state.memberships.find(this.state.options.id)
		if (!self) return 0
		return (self.local ? 0 : DISTANT_PENALTY) + (self.durable ? 0 : DISKLESS_PENALTY)
	}
}
