/** Logs and counts the work that was lost with a run. */
import { Measure } from '@rillrudder/telemetry'
import type { RunEnd } from '../../records/Job'
import { isActive } from '../../state/JobRecord'
import type { LeaderContext } from '../LeaderContext'
import { LeaderEvent } from '../LeaderEvent'
import type { Run } from './Run'
import { wasteCauseOf, wastedProcessorSecondsOf } from './WastedWork'

/**
 * @param context - the context shared by the leader's components.
 * @param run - a run that ended without completing its task.
 * @param how - how it ended.
 * @internal
 */
export function reportWaste(
	{ log, clock, meter, state }: LeaderContext,
	run: Run,
	how: RunEnd
): void {
	const place = state.jobs.locate(run.taskId)
	if (!place) return
	const now = clock.now()
	const cause = wasteCauseOf(run, how, place)
	const processorSeconds = wastedProcessorSecondsOf(run, isActive(place.job), now)
	meter.count(Measure.WastedWork, { cause }, processorSeconds)
	const { taskId: task, attempt, worker, phase } = run
	const ran = Math.round(now - run.phaseSince)
	const wasted = Math.round(processorSeconds * 10) / 10
	log.info(LeaderEvent.RunEnded, { task, attempt, worker, how, phase, ran, cause, wasted })
}
