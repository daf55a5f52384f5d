/**
 * Crash-loop backoff of a task whose worker was lost. A task may crash every worker that runs it, along
 * with the other tasks there. Several tasks share a worker and most of them are not the cause, so the
 * first loss causes no delay. An intent can't fail, so the task is never abandoned, only restarted at
 * growing intervals.
 *
 * In ten minutes such a task crashed 30 workers without the backoff, one per lease of 18 s, and 7 with it.
 */
import type { TaskRecord } from '../state/TaskTable'

/** Delay after the second consecutive loss; each further loss doubles it. */
const INITIAL_DELAY_MS = 10_000
/** Maximum delay; a task that no longer crashes its worker restarts after at most this long. */
const MAX_DELAY_MS = 300_000

/**
 * @param record - a waiting task.
 * @returns the earliest time at which it may be placed, in milliseconds since the epoch.
 * @internal
 */
export function earliestRestartOf({ losses, lostAt }: TaskRecord): number {
	if (!losses || losses < 2 || lostAt === undefined) return 0
	return lostAt + Math.min(MAX_DELAY_MS, INITIAL_DELAY_MS * 2 ** (losses - 2))
}
