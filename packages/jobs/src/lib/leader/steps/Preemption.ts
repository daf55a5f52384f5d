/** Preempts runs for urgent steps: decides when that pays and which runs are stopped. */
import type { WorkerOption, CapacityCheck } from './chooseWorkerForStep'
import { epochTimeOf, type LeaderContext } from '../LeaderContext'
import type { Run } from '../runs/Run'
import { chooseRunsToPreempt } from './chooseRunsToPreempt'
import type { StepWork } from './StepWork'

/**
 * Milliseconds that an urgent step waits for capacity before runs of lower priority are stopped for
 * it.
 */
const PREEMPT_AFTER_MS = 60
/**
 * Milliseconds within which urgent work is to start: users require 5.8 s, less the time that a stop
 * takes.
 */
const URGENT_START_MS = 5000

/** What an urgent step that could not be placed needs. @internal */
export interface CapacityNeed {
	/** Open workers of its service with the required label. */
	readonly eligible: readonly WorkerOption[]
	/** Those of them that may run it now. */
	readonly options: readonly WorkerOption[]
	/** How many of its tasks wait. */
	readonly tasks: number
	/**
	 * When its reserved capacity for the last of them is expected, on the leader's clock; undefined
	 * without a reservation.
	 */
	readonly capacityAt: number | undefined
}

/** Stops runs to free capacity for a step. @internal */
export interface RunStopper {
	/**
	 * @param run - the run to stop.
	 * @param step - name of the step that it is stopped for.
	 */
	preempt(run: Run, step: string): void
}

/**
 * Stops runs of lower priority for urgent steps.
 *
 * @internal
 */
export class Preemption {
	/**
	 * @param context - state and services that the parts of the leader share.
	 * @param runs - stops runs.
	 * @param admits - whether a worker has capacity for one more task of a step.
	 */
	constructor(
		private readonly context: LeaderContext,
		private readonly runs: RunStopper,
		private readonly admits: CapacityCheck
	) {}

	/**
	 * Stops runs of lower priority once an urgent step has waited long enough for capacity and
	 * advice about other workers cannot find any.
	 */
	preemptFor(work: StepWork, need: CapacityNeed, now: number): void {
		const { advice } = work
		if (!this.needsCapacityNow(work, need.capacityAt, now)) return
		if (work.queue.advice && advice.firstAnswerAt === undefined) return
		if (work.getWaitTime(now) < PREEMPT_AFTER_MS) return
		if (this.mayFitElsewhere(work, need)) return
		for (const run of chooseRunsToPreempt(
			work,
			need.options,
			need.tasks,
			epochTimeOf(this.context)
		))
			this.runs.preempt(run, work.name)
	}

	/**
	 * Whether preemption pays: not if the reserved capacity is expected soon and in time, nor if
	 * the step is late anyway. A step without a reservation is a small one, for which little has to
	 * be stopped.
	 */
	private needsCapacityNow(work: StepWork, capacityAt: number | undefined, now: number): boolean {
		if (capacityAt === undefined) return true
		const slack = work.urgency.latestStart - epochTimeOf(this.context)
		return slack >= 0 && capacityAt - now > Math.min(slack, URGENT_START_MS)
	}

	/** Whether a worker that the policy was not asked about yet has capacity. */
	private mayFitElsewhere(work: StepWork, { eligible, options }: CapacityNeed): boolean {
		const allowed = new Set(options.map(({ view }) => view.id))
		return eligible.some((option) => {
			const { id } = option.view
			return !allowed.has(id) && !work.advice.isUnfit(id) && this.admits(work, option)
		})
	}
}
