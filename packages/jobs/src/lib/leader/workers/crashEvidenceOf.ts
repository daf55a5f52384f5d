/**
 * Rates what the unannounced end of a worker implies about a run there. This is the only place that
 * decides which ends count, and against which of the tasks that shared the worker; the first
 * matching line applies:
 *
 * | the run, at the worker's last answer                                           | evidence |
 * | ------------------------------------------------------------------------------ | -------- |
 * | no order to start it can have reached its worker                               | none     |
 * | an earlier leader saw it at work after its start                               | weak     |
 * | it was never confirmed, so its worker may have ended before the start          | doubtful |
 * | it is lasting and had been at work for longer than `HARMLESS_AFTER_MS`         | none     |
 * | it was seen at work after its start                                            | weak     |
 * | its worker was draining or had announced its end                               | doubtful |
 * | an earlier leader had started it, so its time at work is unknown               | doubtful |
 * | other workers of the service were lost at the same time                        | doubtful |
 * | it had just started                                                            | strong   |
 *
 * Time at work is the time on the worker's clock between the answer that confirmed the run and the
 * last list that contained it: a lower bound, however late those answers arrived.
 */
import { CrashEvidence } from '../../state/TaskCrashes'
import type { Run } from '../runs/Run'
import type { WorkerView } from './WorkerView'

/** Time after the confirmation of a suspected task's run from which its worker is probed. */
const PROBE_AFTER_MS = 200
/**
 * Time at work after which a lasting run has shown that it does not crash its worker. Such a run
 * may see many workers fail.
 */
const HARMLESS_AFTER_MS = 5000

/**
 * @param run - a run.
 * @param view - its worker, which has ended or is unreachable.
 * @param isCorrelated - whether other workers of its service were lost at the same time.
 * @returns the evidence against the run's task; undefined for none.
 * @internal
 */
export function crashEvidenceOf(
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
	view: Pick<WorkerView, 'isDraining' | 'hasLeft'>,
	isCorrelated: boolean
): CrashEvidence | undefined {
	const { isRestored, confirmedAt, observedTime } = run
	if (!mayHaveStarted(run)) return undefined
	if (confirmedAt === undefined) return run.seenAtWork ? CrashEvidence.Weak : CrashEvidence.Doubtful
	if (run.step.lasting && observedTime.minimum > HARMLESS_AFTER_MS) return undefined
	if (observedTime.hasOutlivedStartup || run.seenAtWork) return CrashEvidence.Weak
	const isLeaving = view.isDraining || view.hasLeft
	return isLeaving || isRestored || isCorrelated ? CrashEvidence.Doubtful : CrashEvidence.Strong
}

/**
 * A worker that refused the order, or restarted before it arrived, has started nothing; an order
 * without an answer may have been carried out.
 */
function mayHaveStarted({
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
 * @returns whether a suspected task has started on a worker and no later answer has shown yet that
 * the worker survived it. The sooner the worker is probed, the fewer unrelated failures count
 * against the task.
 * @internal
 */
export function hasUnconfirmedSurvival(view: WorkerView, now: number): boolean {
	for (const { isSuspected, confirmedAt, observedTime } of view.runs.values()) {
		if (!isSuspected || confirmedAt === undefined) continue
		if (now - confirmedAt > PROBE_AFTER_MS && !observedTime.hasOutlivedStartup) return true
	}
	return false
}
