/** The spans that the controller works with, in milliseconds. */

/** Spans of a cell; the platform's settings give some of them. @public */
export interface LeaderTiming {
	/** Length of a worker's lease from the moment it is renewed. */
	readonly lease: number
	/** The longest time for which a worker keeps what it runs, whatever lease it is told. */
	readonly maxLease: number
	/** How slow a worker's clock may be, as a share. */
	readonly clockDrift: number
	/** Added to the end of a lease before it counts as over. */
	readonly leaseMargin: number
	/** How long a poll waits for the next end. */
	readonly pollWait: number
	/** The same in a cell of many workers. */
	readonly longPollWait: number
	/** The same at a worker where best-effort work runs beside work with a latency target. */
	readonly tightPollWait: number
	/** Pause before a worker that did not answer is tried again. */
	readonly retryPause: number
	/** How long the state of an ended job is kept. */
	readonly endedJobRetention: number
	/**
	 * A worker that has not been heard of for this long is noted as such for the next leader, which relies on those that are not
	 * noted for as long as is left of `heartbeatTimeout`.
	 */
	readonly heartbeatOverdue: number
	/** A worker that has not been heard of for this long gets no new work. */
	readonly heartbeatTimeout: number
	/** A worker that has not been heard of for this long, and runs nothing, is forgotten. */
	readonly idleWorkerRetention: number
	/** How long a member of a gang waits on its worker for the others, at least. */
	readonly gangWait: number
	/** How far ahead of its ticket's end a start must be decided. */
	readonly ticketMargin: number
	/** How long a leaving worker is given before what runs there is moved, counted back from its end. */
	readonly leaveMargin: number
	/** Over how long the jobs that an account sends are held against its rate. */
	readonly rateWindow: number
	/** Share of its quota by which an account's gang that runs by itself may go beyond it; not a span. */
	readonly quotaTolerance: number
}

/** Spans that suit data centres a few milliseconds apart. @public */
export const DEFAULT_LEADER_TIMING: LeaderTiming = {
	// Longer than a change of leader (up to 1.2 s) and the poll after it.
	lease: 4000,
	maxLease: 10_000,
	clockDrift: 0.02,
	leaseMargin: 100,
	// A lost answer hides ends for this long and half a second more.
	pollWait: 500,
	// Still under a second and a half without news of a run, and three renewals of a lease.
	longPollWait: 1000,
	tightPollWait: 300,
	retryPause: 200,
	endedJobRetention: 150_000,
	// A missed heartbeat of 1.5 s, and one that is late.
	heartbeatOverdue: 2500,
	// Two missed heartbeats of 1.5 s: half a second before room that has shrunk since the last one must count (3 s and one
	// heartbeat).
	heartbeatTimeout: 4000,
	idleWorkerRetention: 60_000,
	gangWait: 3000,
	// A commit with a sync of 9 ms, and the order's way to the worker, with room for a slow disk.
	ticketMargin: 300,
	leaveMargin: 700,
	rateWindow: 1000,
	quotaTolerance: 0,
}
