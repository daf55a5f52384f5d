/** Makes room for urgent steps: when it pays to stop other work, and which runs. */
import type { WorkerOption, CapacityCheck } from './chooseWorkerForStep'
import { epochOf, type LeaderContext } from '../LeaderContext'
import type { Run } from '../runs/Run'
import { chooseRunsToPreempt } from './chooseRunsToPreempt'
import type { StepWork } from './StepWork'

/** Milliseconds that an urgent step waits for room before runs of lower priority are stopped for it. */
const PREEMPT_AFTER_MS = 60
/** Milliseconds within which urgent work is to begin; the users ask for 5.8 s, less the time that a stop takes. */
const URGENT_START_MS = 5000

/** An urgent step that found no room. @internal */
export interface CapacityNeed {
	/** Open workers of its service that have its label. */
	readonly eligible: readonly WorkerOption[]
	/** Those of them that may run it now. */
	readonly options: readonly WorkerOption[]
	/** How many of its tasks wait. */
	readonly tasks: number
	/** When room that is kept for the last of them is expected, on the leader's clock; undefined when none is kept. */
	readonly capacityAt: number | undefined
}

/** Stops a run so that a step finds room. @internal */
export interface RunStopper {
	/** @param step - name of the step that it is stopped for. */
	preempt(run: Run, step: string): void
}

/**
 * Preemption.
 *
 * @internal
 */
export class Preemption {
	/**
	 * @param context - what the parts of the leader share.
	 * @param runs - stops runs.
	 * @param admits - whether a worker has room for one more task of a step.
	 */
	constructor(
		private readonly context: LeaderContext,
		private readonly runs: RunStopper,
		private readonly admits: CapacityCheck
	) {}

	/** Stops runs of lower priority where an urgent step has waited for room, and asking for advice finds none. */
	preemptFor(work: StepWork, need: CapacityNeed, now: number): void {
		const { advice } = work
		if (!this.needsCapacityNow(work, need.capacityAt, now)) return
		if (work.queue.advice && advice.firstAnswerAt === undefined) return
		if (work.getWaitTime(now) < PREEMPT_AFTER_MS) return
		if (this.mayFitElsewhere(work, need)) return
		for (const run of chooseRunsToPreempt(work, need.options, need.tasks, epochOf(this.context)))
			this.runs.preempt(run, work.name)
	}

	/**
	 * Whether it pays to stop other work: not when the room that is kept comes soon and in time, nor when the step is
	 * late anyway. A step that keeps no room is a small one, for which little has to stop.
	 */
	private needsCapacityNow(work: StepWork, capacityAt: number | undefined, now: number): boolean {
		if (capacityAt === undefined) return true
		const slack = work.urgency.latestStart - epochOf(this.context)
		return slack >= 0 && capacityAt - now > Math.min(slack, URGENT_START_MS)
	}

	/** Whether a worker that has not been asked about has room. */
	private mayFitElsewhere(work: StepWork, { eligible, options }: CapacityNeed): boolean {
		const allowed = new Set(options.map(({ view }) => view.id))
		return eligible.some((option) => {
			const { id } = option.view
			return !allowed.has(id) && !work.advice.isUnfit(id) && this.admits(work, option)
		})
	}
}
