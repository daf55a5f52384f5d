/**
 * The quick way to a leader after all have started anew. A voter that restarted must assume that it has
 * just promised a leader its time, and wait; but when every voter says that its process has known no
 * leader since it started, the leader that was promised is gone with its process, and its lease too.
 */
import type { ReplicaState } from './ReplicaState'

/** Spans of `Timing.heartbeatInterval` between two questions, more or less at random so that two do not meet. */
const LEAST_PAUSE = 0.5
const MOST_PAUSE = 2

/**
 * Counts the voters that know of no leader.
 *
 * @internal
 */
export class Unanimity {
	private leaderless = new Set<string>()
	private term = 0
	private due = 0

	constructor(private readonly state: ReplicaState) {}

	/** Whether all voters are to be asked now; from then on answers count anew. */
	isDue(now: number): boolean {
		const { options, knewLeader, timing, term } = this.state
		if (!options.applicant || knewLeader || now < this.due) return false
		const spread = (MOST_PAUSE - LEAST_PAUSE) * options.random.fraction()
		this.due = now + timing.heartbeatInterval * (LEAST_PAUSE + spread)
		this.term = term
		this.leaderless = new Set([options.id])
		return true
	}

	/** @returns whether with this voter all have said that they know of no leader. */
	count(voter: string): boolean {
		const { knewLeader, term, memberships } = this.state
		if (knewLeader || term !== this.term) return false
		this.leaderless.add(voter)
		return memberships.voters.every(({ id }) => this.leaderless.has(id))
	}
}
