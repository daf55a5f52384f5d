/** Selects the runs whose progress reflects the speed of their worker. */
import { RunPhase, type Run } from './Run'

/** Progress in percent of a run that has done its work and is about to end. */
const COMPLETED_PERCENT = 100
/** Pace in percent of a run that is not throttled. */
const FULL_PACE_PERCENT = 100

/**
 * Runs that are throttled or have done all their work don't count, nor do members of a gang, which
 * wait for the other members before and after their work.
 *
 * @returns whether the progress of a run reflects the speed of its worker.
 * @internal
 */
export function isWorkerSpeedSample({ phase, step, pace, percent }: Run): boolean {
	if (phase !== RunPhase.Running || pace < FULL_PACE_PERCENT || percent >= COMPLETED_PERCENT)
		return false
	return !step.lasting && !step.bestEffort && !step.gang && step.expectedTime > 0
}
