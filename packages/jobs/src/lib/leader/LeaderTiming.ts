/** Durations and margins of the controller, in milliseconds unless stated otherwise. */

/**
 * Durations and margins of a cell, in milliseconds unless stated otherwise; the platform's settings
 * set some of them.
 *
 * @public
 */
export interface LeaderTiming {
	/** Duration of a worker's lease from its renewal. */
	readonly lease: number
	/** Maximum time for which a worker keeps its runs, whatever lease an order grants. */
	readonly maxLease: number
	/** Largest relative error by which a worker's clock may run slow; a fraction, not a duration. */
	readonly clockDrift: number
	/** Added to the end of a lease before it counts as expired. */
	readonly leaseMargin: number
	/** How long a poll of a worker waits for a run to end before the worker answers. */
	readonly pollWait: number
	/** Like `pollWait`, in a cell of many workers. */
	readonly longPollWait: number
	/** Like `pollWait`, for a worker that runs best-effort work beside work with a latency target. */
	readonly tightPollWait: number
	/** Pause before a worker that did not answer is tried again. */
	readonly retryPause: number
	/** How long the state of an ended job is kept. */
	readonly endedJobRetention: number
	/**
	 * A worker without heartbeat for this long is recorded as such for the next leader. The next
	 * leader relies on workers that are not recorded for the rest of `heartbeatTimeout`.
	 */
	readonly heartbeatOverdue: number
	/** A worker without heartbeat for this long gets no new work. */
	readonly heartbeatTimeout: number
	/**
	 * A worker that has been unreachable for this long counts as crashed for the tasks whose runs on
	 * it were abandoned, until it answers.
	 */
	readonly crashPresumption: number
	/** A worker without heartbeat for this long that runs nothing is forgotten. */
	readonly idleWorkerRetention: number
	/** Minimum time for which a member of a gang waits on its worker for the other members. */
	readonly gangWait: number
	/** How long before its ticket expires a start must be decided. */
	readonly ticketMargin: number
	/** How long before its end the runs of a leaving worker are moved. */
	readonly leaveMargin: number
	/** Window over which an account's submissions are counted against its rate. */
	readonly rateWindow: number
	/**
	 * Fraction by which an account's gang that runs by itself may exceed the quota; not a duration.
	 */
	readonly quotaTolerance: number
}

/** Defaults for data centres a few milliseconds apart. @public */
export const DEFAULT_LEADER_TIMING: LeaderTiming = {
	// Longer than a change of leader (up to 1.2 s) plus the first poll of the new leader.
	lease: 4000,
	maxLease: 10_000,
	clockDrift: 0.02,
	leaseMargin: 100,
	// A lost answer delays the news of ended runs by this wait plus half a second.
	pollWait: 500,
	// News of a run still arrive within 1.5 s, and a lease is renewed three times before it expires.
	longPollWait: 1000,
	tightPollWait: 300,
	retryPause: 200,
	endedJobRetention: 150_000,
	// One missed heartbeat, at an interval of 1.5 s, and one that is late.
	heartbeatOverdue: 2500,
	// Two missed heartbeats at an interval of 1.5 s. A reduced capacity must take effect within 3 s
	// plus one heartbeat (4.5 s), which leaves half a second.
	heartbeatTimeout: 4000,
	// A long-running task has to be at work again within 9 s of its last run. Detecting the loss takes
	// up to 1.5 s, and committing and ordering the next start up to 0.5 s.
	crashPresumption: 7000,
	idleWorkerRetention: 60_000,
	gangWait: 3000,
	// A commit (sync of 9 ms) and the delivery of the order to the worker, with a reserve for a slow
	// disk.
	ticketMargin: 300,
	leaveMargin: 700,
	rateWindow: 1000,
	quotaTolerance: 0,
}
