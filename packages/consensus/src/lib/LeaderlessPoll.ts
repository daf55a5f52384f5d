/**
 * Elects a leader quickly after all voters have restarted. A restarted voter must assume that it has
 * just acknowledged a leader's lease, and wait. When every voter reports that its process has known no
 * leader since it started, the earlier leader's process, and with it the lease, no longer exists.
 */
import type { ReplicaState } from './ReplicaState'

/**
 * Bounds of the time between two polls, in multiples of `Timing.heartbeatInterval`. It is random, so
 * that the polls of two voters do not collide.
 */
const MIN_INTERVAL = 0.5
const MAX_INTERVAL = 2

/**
 * Counts the voters that have known no leader since they started.
 *
 * @internal
 */
export class LeaderlessPoll {
	private leaderless = new Set<string>()
	private term = 0
	private nextPollAt = 0

	constructor(private readonly state: ReplicaState) {}

	/**
	 * Starts a new poll when one is due; replies to earlier polls no longer count.
	 *
	 * @returns whether it did.
	 */
	startIfDue(now: number): boolean {
		const { options, hasKnownLeader, timing, term } = this.state
		if (!options.applicant || hasKnownLeader || now < this.nextPollAt) return false
		const spread = (MAX_INTERVAL - MIN_INTERVAL) * options.random.fraction()
		this.nextPollAt = now + timing.heartbeatInterval * (MIN_INTERVAL + spread)
		this.term = term
		this.leaderless = new Set([options.id])
		return true
	}

	/** @returns whether all voters, with this one, have reported that they know no leader. */
	recordLeaderless(voter: string): boolean {
		const { hasKnownLeader, term, memberships } = this.state
		if (hasKnownLeader || term !== this.term) return false
		this.leaderless.add(voter)
		return memberships.voters.every(({ id }) => this.leaderless.has(id))
	}
}
