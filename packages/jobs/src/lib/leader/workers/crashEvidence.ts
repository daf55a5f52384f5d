/**
 * What the end of a worker that did not say that it ends, says of a run there. The one place that decides which ends count, and
 * for which of the tasks that shared the worker; the first line that fits holds:
 *
 * | the run, when its worker was last heard of                                    | evidence |
 * | ------------------------------------------------------------------------------ | -------- |
 * | no order to start it can have reached its worker                               | none     |
 * | an earlier leader saw it outlive its beginning                                 | weak     |
 * | it was never confirmed, so its worker may have been gone before                | doubtful |
 * | it lasts, and had been at work for longer than `SETTLED`                       | none     |
 * | it had outlived its beginning                                                  | weak     |
 * | its worker had said it leaves                                                  | doubtful |
 * | an earlier leader had ordered it, so it is not known how long it was at work   | doubtful |
 * | other workers of the service fell silent at the same time                      | doubtful |
 * | it had just begun                                                              | strong   |
 *
 * How long it had been at work is what its worker's clock showed between the answer that confirmed it and the last list that had it, so it
 * was at work for at least that long, however late those answers came.
 */
import { CrashEvidence } from '../../state/TaskCrashes'
import type { Run } from '../runs/Run'
import type { WorkerView } from './WorkerView'

/** Milliseconds after its confirmation from which the worker of a suspected task is asked whether it lives on. */
const ASK_AFTER = 200
/** Milliseconds at work after which a lasting run has shown that it does not crash its worker; it may see many of them fail. */
const SETTLED = 5000

/**
 * @param run - a run.
 * @param view - its worker, which has ended or is silent.
 * @param inWave - whether other workers of its service fell silent at the same time.
 * @returns what that says of the run's task; undefined for nothing.
 * @internal
 */
export function crashEvidence(
	run: Pick<
		Run,
		| 'isOrdered'
		| 'isOrderPending'
		| 'isInDoubt'
		| 'confirmedAt'
		| 'observedTime'
		| 'isRestored'
		| 'seenAtWork'
		| 'step'
	>,
	view: Pick<WorkerView, 'draining' | 'left'>,
	inWave: boolean
): CrashEvidence | undefined {
	const { isRestored, confirmedAt, observedTime } = run
	if (!mayHaveBegun(run)) return undefined
	if (confirmedAt === undefined) return run.seenAtWork ? CrashEvidence.Weak : CrashEvidence.Doubtful
	if (run.step.lasting && observedTime.minimum > SETTLED) return undefined
	if (observedTime.hasOutlivedStartup || run.seenAtWork) return CrashEvidence.Weak
	const leaves = view.draining || view.left
	return leaves || isRestored || inWave ? CrashEvidence.Doubtful : CrashEvidence.Strong
}

/** A worker that refuses an order, or has started again before it came, has begun nothing; an order without an answer may have been obeyed. */
function mayHaveBegun({
	isOrdered,
	isOrderPending,
	isInDoubt,
	confirmedAt,
	isRestored,
}: Pick<
	Run,
	'isOrdered' | 'isOrderPending' | 'isInDoubt' | 'confirmedAt' | 'isRestored'
>): boolean {
	if (isRestored) return true
	return isOrdered && (confirmedAt !== undefined || isOrderPending || isInDoubt)
}

/**
 * @returns whether a task under suspicion has begun on a worker of which no answer tells yet that it has lived on: the
 * sooner it is asked, the fewer chance failures count against the task.
 * @internal
 */
export function hidesSurvival(view: WorkerView, now: number): boolean {
	for (const { isSuspected, confirmedAt, observedTime } of view.runs.values()) {
		if (!isSuspected || confirmedAt === undefined) continue
		if (now - confirmedAt > ASK_AFTER && !observedTime.hasOutlivedStartup) return true
	}
	return false
}
