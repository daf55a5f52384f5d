/**
 * What the end of a worker that said nothing before says of a run there. The one place that decides which ends count, and for
 * which of the tasks that shared the worker:
 *
 * | the run, when its worker was last heard of                                    | evidence |
 * | ------------------------------------------------------------------------------ | -------- |
 * | its worker had said that it leaves                                             | none     |
 * | it had never been ordered, or its end was listed                               | none     |
 * | an earlier leader had ordered it, so it is not known how long it was at work   | weak     |
 * | other workers of the service fell silent at the same time                      | weak     |
 * | it had been at work for longer than `JUST_BEGUN`                               | weak     |
 * | it had just begun                                                              | strong   |
 */
import { RunPhase, type Run } from './Run'
import type { WorkerView } from './WorkerView'

/**
 * Milliseconds after its order within which a run counts as just begun. A task that crashes its worker was seen to do so within
 * 10 ms; the rest is the longest poll, after which alone the worker is known to have lived on.
 */
const JUST_BEGUN = 500

/** What the end of its worker says of a run. @internal */
export const CrashEvidence = {
	None: 'none',
	Weak: 'weak',
	Strong: 'strong',
} as const
/** One of the answers. @internal */
export type CrashEvidence = (typeof CrashEvidence)[keyof typeof CrashEvidence]

/**
 * @param run - a run.
 * @param view - its worker, which has ended or is silent.
 * @param inWave - whether other workers of its service fell silent at the same time.
 * @returns what that says of the run's task.
 * @internal
 */
export function crashEvidence(
	run: Pick<Run, 'phase' | 'orderedAt' | 'restored'>,
	view: Pick<WorkerView, 'draining' | 'left' | 'answeredAt'>,
	inWave: boolean
): CrashEvidence {
	if (view.draining || view.left || run.phase === RunPhase.Stopped) return CrashEvidence.None
	if (run.orderedAt === undefined) return run.restored ? CrashEvidence.Weak : CrashEvidence.None
	const atWork = view.answeredAt - run.orderedAt
	return inWave || run.restored || atWork > JUST_BEGUN ? CrashEvidence.Weak : CrashEvidence.Strong
}
