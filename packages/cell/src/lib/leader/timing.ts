/**
 * The spans that starts rest on, in milliseconds. Each is counted on two clocks that may run apart by
 * `DRIFT`: whoever promises counts it as written, whoever relies on the promise counts it `outlast`.
 */

/** How far two clocks may run apart, as a share. @public */
export const MAX_CLOCK_DRIFT = 0.1

/** An entry instance starts nothing on a heartbeat older than this. @public */
export const START_WINDOW_MS = 2000

/** Lent slots may be used this long after the heartbeat that the loan answers. @public */
export const LOAN_DURATION_MS = 3000

/** A worker keeps a task this long after the stamp that the leader last sent back to it. @public */
export const TASK_LEASE_MS = 15_000

/** How long a worker is asked for the end of an attempt that nobody answered for. @public */
export const SETTLE_TIMEOUT_MS = 5000

/** Between two heartbeats of an entry instance. @public */
export const HEARTBEAT_INTERVAL_MS = 200

/**
 * @param durationMs - a span that another process counts.
 * @returns how long to wait until it is certainly over there.
 * @public
 */
export function addDriftMargin(durationMs: number): number {
	return durationMs * (1 + 2 * MAX_CLOCK_DRIFT)
}
