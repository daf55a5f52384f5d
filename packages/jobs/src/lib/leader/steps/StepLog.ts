/** Log lines and metrics of steps: when they are placed, dropped or barred. */
import { Measure } from '@rillrudder/telemetry'
import type { LeaderContext } from '../LeaderContext'
import { LeaderEvent } from '../LeaderEvent'
import type { PlacedTask } from './placeGang'
import type { StepWork } from './StepWork'

/**
 * Writes log lines and metrics of steps.
 *
 * @internal
 */
export class StepLog {
	constructor(private readonly context: LeaderContext) {}

	/** Logs that runs of a step start. */
	logPlaced(work: StepWork, placed: readonly PlacedTask[], now: number): void {
		const { meter, log, state, term } = this.context
		const waited = work.getWaitTime(now)
		const priority = String(work.queue.priority)
		meter.observe(Measure.StepWait, waited, { priority })
		log.info(LeaderEvent.StepPlaced, {
			step: work.name,
			priority: work.queue.priority,
			runs: placed.length,
			waiting: work.getWaitingTasks().length,
			waited: Math.round(waited),
			questions: work.advice.questionCount,
			advised: Math.round(work.getWaitTime(work.advice.firstAnswerAt ?? 0)),
			waits: String(work.waits),
			workers: formatWorkerCounts(placed),
			configuration: state.configuration?.version ?? 0,
			term,
		})
	}

	/**
	 * Records that a step is closed because its job has ended. Its waits are counted whether it was
	 * placed or not.
	 */
	recordClosed(work: StepWork): void {
		const { meter, log, clock } = this.context
		const waiting = work.getWaitingTasks().length
		work.waits.setReason(undefined, clock.now())
		const priority = String(work.queue.priority)
		for (const [reason, duration] of work.waits.getDurations()) {
			meter.count(Measure.StepWaits, { priority, reason }, duration)
		}
		if (waiting === 0 || work.readyAt === undefined) return
		log.info(LeaderEvent.StepDropped, {
			step: work.name,
			priority: work.queue.priority,
			waiting,
			waited: Math.round(work.getWaitTime(clock.now())),
			waits: String(work.waits),
		})
	}

	/** Logs, once for each step, that the policy of its queue allows none of the open workers. */
	logBarred(work: StepWork, workers: number): void {
		work.hasLoggedBarred = true
		const { name: step, queue } = work
		this.context.meter.count(Measure.StepsBarred, { priority: String(queue.priority) })
		this.context.log.info(LeaderEvent.StepBarred, { step, priority: queue.priority, workers })
	}
}

/** Formats the workers of placed tasks with their counts for the log. */
function formatWorkerCounts(placed: readonly PlacedTask[]): string {
	const counts = new Map<string, number>()
	for (const { worker } of placed) counts.set(worker, (counts.get(worker) ?? 0) + 1)
	return [...counts].map(([worker, count]) => `${worker}:${count}`).join(' ')
}
