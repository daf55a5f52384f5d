/** The timing of a group, on which its safety and speed depend, in milliseconds. */

/** Timing of one group; all its replicas must use the same. @public */
export interface Timing {
	/** Time between two heartbeats of the leader. */
	readonly heartbeatInterval: number
	/**
	 * A replica that heard from its leader within this time grants no vote. Followers wait between 1
	 * and `1 + spread` times this long before they ask for votes.
	 */
	readonly electionTimeout: number
	/**
	 * Random part of the wait before an election, as a share of `electionTimeout`. It is far longer than
	 * a vote takes, so that two candidates rarely collide.
	 */
	readonly spread: number
	/**
	 * Maximum clock drift, as a share. A lease is shortened by twice this share: the
	 * leader's clock may be slow by it while a follower's is fast by it.
	 */
	readonly drift: number
}

/** Timing for data centres a few milliseconds apart. @public */
export const DEFAULT_TIMING: Timing = {
	heartbeatInterval: 100,
	electionTimeout: 600,
	spread: 1,
	drift: 0.1,
}

/**
 * @param timing - the group's timing.
 * @returns how long a lease lasts after the heartbeat that renews it was sent.
 * @public
 */
export function leaseDuration(timing: Timing): number {
	return timing.electionTimeout * (1 - 2 * timing.drift)
}
