/** The spans that a group's safety and speed rest on, in milliseconds. */

/** Spans of one group; every replica of the group is given the same. @public */
export interface Timing {
	/** Between two heartbeats of the leader. */
	readonly heartbeatInterval: number
	/**
	 * A replica that heard from its leader this recently gives nobody its vote. Followers wait for
	 * between one and `1 + spread` of these before they ask for votes.
	 */
	readonly electionTimeout: number
	/** Spread of the waits before an election, as a share of `election`: far more than a vote takes. */
	readonly spread: number
	/**
	 * How far two clocks may run apart, as a share. A lease is shortened by twice this share: the
	 * leader's clock may be slow by it while a follower's is fast by it.
	 */
	readonly drift: number
}

/** Spans for data centres a few milliseconds apart. @public */
export const DEFAULT_TIMING: Timing = {
	heartbeatInterval: 100,
	electionTimeout: 600,
	spread: 1,
	drift: 0.1,
}

/**
 * @param timing - the group's spans.
 * @returns how long a lease lasts from the moment the heartbeat that renews it was sent.
 * @public
 */
export function leaseDuration(timing: Timing): number {
	return timing.electionTimeout * (1 - 2 * timing.drift)
}
