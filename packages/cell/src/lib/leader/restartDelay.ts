/**
 * How long a task waits before it begins again after its worker was lost: a crash loop backoff. A task may crash each worker
 * that runs it, and takes the neighbours with it each time. Several tasks share a worker and most are innocent, so the
 * first loss costs no wait; an intent has no end by failure, so the task is not given up but begins ever more seldom.
 *
 * In ten minutes such a task crashed 30 workers without the wait, one for each lease of 18 s, and 7 with it.
 */
import type { TaskRecord } from '../state/TaskTable'

/** Milliseconds after the second loss in a row; each further one doubles it. */
const INITIAL_DELAY_MS = 10_000
/** Milliseconds at most: a task that is sound again is back after as long. */
const MAX_DELAY_MS = 300_000

/**
 * @param record - a task that waits.
 * @returns from when on it may be placed, milliseconds since the epoch.
 * @internal
 */
export function earliestRestartOf({ losses, lostAt }: TaskRecord): number {
	if (!losses || losses < 2 || lostAt === undefined) return 0
	return lostAt + Math.min(MAX_DELAY_MS, INITIAL_DELAY_MS * 2 ** (losses - 2))
}
