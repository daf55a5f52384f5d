/**
 * Throttles best-effort work on workers where it endangers the latency target of other work, and
 * speeds it up again once the tail latency is well below that target. It slows down fast and speeds
 * up slowly, so that the tail latency stays below the target instead of oscillating around it.
 */
import type { LeaderContext } from '../LeaderContext'
import { LeaderEvent } from '../LeaderEvent'
import { RunPhase, type Run } from './Run'
import type { WorkerView } from '../workers/WorkerView'

/** Tail latency, as a share of the target, above which best-effort work is slowed down. */
const SLOW_DOWN_ABOVE = 0.85
/** Tail latency, as a share of the target, below which best-effort work is sped up. */
const SPEED_UP_BELOW = 0.6
/** Factor that the pace is multiplied by to slow down. */
const SLOW_DOWN_FACTOR = 0.4
/** Pace in percent below which the work is paused instead of slowed down further. */
const MIN_PACE_PERCENT = 10
/** Percentage points that are added to the pace to speed up. */
const SPEED_UP_PERCENT = 15

/**
 * Sets the pace of the best-effort runs of a worker.
 *
 * @internal
 */
export class RunPacer {
	constructor(private readonly context: LeaderContext) {}

	/** Adjusts the pace after a poll of the worker. */
	adjust(view: WorkerView): void {
		const runs = [...view.runs.values()].filter((run) => run.phase === RunPhase.Running)
		const bestEffort = runs.filter((run) => run.step.bestEffort)
		if (bestEffort.length === 0) return
		const serving = runs.filter((run) => run.step.latencyTarget > 0)
		const pressure = Math.max(0, ...serving.map((run) => run.measure / run.step.latencyTarget))
		for (const run of bestEffort) {
			const percent = nextPace(run.pace, pressure)
			if (percent !== run.pace) this.order(view, run, percent, pressure)
		}
	}

	private order(view: WorkerView, run: Run, percent: number, pressure: number): void {
		const { orders, log } = this.context
		const { taskId: task, attempt } = run
		const before = run.pace
		run.pace = percent
		log.info(LeaderEvent.RunPaced, { task, worker: view.id, percent, pressure })
		orders.pace(view.worker, { task, attempt, percent, fence: view.fence }, (result) => {
			// An unconfirmed order is decided again after the next poll.
			if (result.kind !== 'done') run.pace = before
		})
	}
}

function nextPace(pace: number, pressure: number): number {
	if (pressure > SLOW_DOWN_ABOVE) {
		const slower = Math.floor(pace * SLOW_DOWN_FACTOR)
		return slower < MIN_PACE_PERCENT ? 0 : slower
	}
	if (pressure < SPEED_UP_BELOW) return Math.min(100, pace + SPEED_UP_PERCENT)
	return pace
}
