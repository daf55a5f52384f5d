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
const PROBE_AFTER_MS = 200
/** Milliseconds at work after which a lasting run has shown that it does not crash its worker; it may see many of them fail. */
const HARMLESS_AFTER_MS = 5000

/**
 * @param run - a run.
 * @param view - its worker, which has ended or is silent.
 * @param isCorrelated - whether other workers of its service fell silent at the same time.
 * @returns what that says of the run's task; undefined for nothing.
 * @internal
 */
export function crashEvidenceOf(
	run: Pick<
		Run,
		'ordered' | 'busy' | 'isInDoubt' | 'confirmedAt' | 'atWork' | 'restored' | 'seenAtWork' | 'step'
	>,
	view: Pick<WorkerView, 'draining' | 'left'>,
	isCorrelated: boolean
): CrashEvidence | undefined {
	const { restored, confirmedAt, atWork } = run
	if (!mayHaveStarted(run)) return undefined
	if (confirmedAt === undefined) return run.seenAtWork ? CrashEvidence.Weak : CrashEvidence.Doubtful
	if (run.step.lasting && atWork.least > HARMLESS_AFTER_MS) return undefined
	if (atWork.hasOutlivedBeginning || run.seenAtWork) return CrashEvidence.Weak
	const leaves = view.draining || view.left
	return leaves || restored || isCorrelated ? CrashEvidence.Doubtful : CrashEvidence.Strong
}

/** A worker that refuses an order, or has started again before it came, has begun nothing; an order without an answer may have been obeyed. */
function mayHaveStarted({
	ordered,
	busy,
	isInDoubt,
	confirmedAt,
	restored,
}: Pick<Run, 'ordered' | 'busy' | 'isInDoubt' | 'confirmedAt' | 'restored'>): boolean {
	if (restored) return true
	return ordered && (confirmedAt !== undefined || busy || isInDoubt)
}

/**
 * @returns whether a task under suspicion has begun on a worker of which no answer tells yet that it has lived on: the
 * sooner it is asked, the fewer chance failures count against the task.
 * @internal
 */
export function hasUnconfirmedSurvival(view: WorkerView, now: number): boolean {
	for (const { suspected, confirmedAt, atWork } of view.runs.values()) {
		if (!suspected || confirmedAt === undefined) continue
		if (now - confirmedAt > PROBE_AFTER_MS && !atWork.hasOutlivedBeginning) return true
	}
	return false
}
