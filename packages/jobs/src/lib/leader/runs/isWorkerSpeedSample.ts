/** Which runs tell by their progress how their worker gets on. */
import { RunPhase, type Run } from './Run'

/** Percent of a run that has done its work and is about to end. */
const ALL_DONE = 100
/** Percent of a worker's speed that a run which is not paced works at. */
const FULL_PACE = 100

/**
 * Whether a run's progress tells of its worker: not that of one which was slowed down, or has done all its work, and not a
 * gang's member, which waits for the others before its work and after.
 *
 * @internal
 */
export function isWorkerSpeedSample({ phase, step, pace, percent }: Run): boolean {
	if (phase !== RunPhase.Running || pace < FULL_PACE || percent >= ALL_DONE) return false
	return !step.lasting && !step.bestEffort && !step.gang && step.expectedTime > 0
}
