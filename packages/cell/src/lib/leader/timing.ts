/**
 * Durations on which the safety of starts depends, in milliseconds. Each is measured on two clocks that
 * may drift apart by `MAX_CLOCK_DRIFT`: the process bound by a duration uses it as defined, a process
 * that waits for it to pass elsewhere uses `addDriftMargin`.
 */

/** Maximum drift between two clocks, as a fraction. @public */
export const MAX_CLOCK_DRIFT = 0.1

/** An entry instance starts no attempt whose `go` refers to a heartbeat older than this. @public */
export const START_WINDOW_MS = 2000

/** Lent slots may be used for this long after the heartbeat that the loan answers. @public */
export const LOAN_DURATION_MS = 3000

/** A worker keeps a task for this long after the newest stamp that the leader has sent back. @public */
export const TASK_LEASE_MS = 15_000

/** How long a worker is polled for the outcome of an attempt without a known result. @public */
export const SETTLE_TIMEOUT_MS = 5000

/** Interval between two heartbeats of an entry instance. @public */
export const HEARTBEAT_INTERVAL_MS = 200

/**
 * @param durationMs - a duration that another process measures.
 * @returns how long to wait until it has certainly passed on that process's clock.
 * @public
 */
export function addDriftMargin(durationMs: number): number {
	return durationMs * (1 + 2 * MAX_CLOCK_DRIFT)
}
