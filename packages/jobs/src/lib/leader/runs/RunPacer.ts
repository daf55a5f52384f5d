/**
 * Slows best-effort work down where it disturbs work with a latency target, and lets it go on when the
 * tail latency has room again. Slowing down is fast and letting go on is slow, so that the tail stays
 * under its target rather than around it.
 */
import type { LeaderContext } from '../LeaderContext'
import { LeaderEvent } from '../LeaderEvent'
import { RunPhase, type Run } from './Run'
import type { WorkerView } from '../workers/WorkerView'

/** Share of the target above which best-effort work is slowed down. */
const TOO_NEAR = 0.85
/** Share of the target below which it may go faster. */
const ROOM = 0.6
/** What the pace is multiplied by to slow down. */
const SLOW_DOWN = 0.4
/** Percent below which it is stopped instead of slowed further. */
const LEAST_PACE = 10
/** Percent added to go faster. */
const SPEED_UP = 15

/**
 * Paces the best-effort runs of a worker.
 *
 * @internal
 */
export class RunPacer {
	constructor(private readonly context: LeaderContext) {}

	/** Sets the pace after a poll of a worker. */
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
			// What was not heard of is decided anew after the next poll.
			if (result.kind !== 'done') run.pace = before
		})
	}
}

function nextPace(pace: number, pressure: number): number {
	if (pressure > TOO_NEAR) {
		const slower = Math.floor(pace * SLOW_DOWN)
		return slower < LEAST_PACE ? 0 : slower
	}
	if (pressure < ROOM) return Math.min(100, pace + SPEED_UP)
	return pace
}
