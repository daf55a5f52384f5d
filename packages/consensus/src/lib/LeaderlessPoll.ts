/**
 * The quick way to a leader after all have started anew. A voter that restarted must assume that it has
 * just promised a leader its time, and wait; but when every voter says that its process has known no
 * leader since it started, the leader that was promised is gone with its process, and its lease too.
 */
import type { ReplicaState } from './ReplicaState'

/** Spans of `Timing.heartbeatInterval` between two questions, more or less at random so that two do not meet. */
const MIN_INTERVAL = 0.5
const MAX_INTERVAL = 2

/**
 * Counts the voters that know of no leader.
 *
 * @internal
 */
export class LeaderlessPoll {
	private leaderless = new Set<string>()
	private term = 0
	private nextPollAt = 0

	constructor(private readonly state: ReplicaState) {}

	/** Whether all voters are to be asked now; from then on answers count anew. */
	startIfDue(now: number): boolean {
		const { options, knewLeader, timing, term } = this.state
		if (!options.applicant || knewLeader || now < this.nextPollAt) return false
		const spread = (MAX_INTERVAL - MIN_INTERVAL) * options.random.fraction()
		this.nextPollAt = now + timing.heartbeatInterval * (MIN_INTERVAL + spread)
		this.term = term
		this.leaderless = new Set([options.id])
		return true
	}

	/** @returns whether with this voter all have said that they know of no leader. */
	recordLeaderless(voter: string): boolean {
		const { knewLeader, term, memberships } = this.state
		if (knewLeader || term !== this.term) return false
		this.leaderless.add(voter)
		return memberships.voters.every(({ id }) => this.leaderless.has(id))
	}
}
