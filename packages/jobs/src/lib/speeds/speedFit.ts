/**
 * How the speeds of workers affect placement: urgent work prefers workers that are not slow. Work
 * with slack, or too late on any worker, fills the slow ones, so that the others keep capacity for
 * urgent work.
 */
import type { WorkerOption } from '../leader/steps/chooseWorkerForStep'
import type { StepWork } from '../leader/steps/StepWork'
import { Usefulness, usefulnessOf } from '../placement/Usefulness'

/** Speed, as a share of the median, below which a worker is avoided if there are others. */
const SLOW_BELOW = 0.75
/**
 * Added to the score of a slow worker for urgent work: more than the fit of any two workers differs
 * by.
 */
const URGENT_PENALTY = 4
/**
 * Subtracted from the score of a slow worker for work with slack: the advantage of a half-full
 * worker over an empty one.
 */
const SLACK_BONUS = 0.5
/**
 * Share of the time that a gang gains by avoiding slow workers for which it waits for capacity on
 * the others.
 */
const WAIT_SHARE = 0.5
/** Maximum time, in milliseconds, for which a gang waits in this way. */
const MAX_WAIT_MS = 2000

/**
 * @param speed - the worker's speed, as a share of the median.
 * @param epoch - now, in milliseconds since the epoch.
 * @returns what the worker's speed adds to its score for a task of the step; lower is better.
 * @internal
 */
export function speedScoreOf(work: StepWork, speed: number, epoch: number): number {
	const { step } = work
	if (speed >= SLOW_BELOW || step.lasting || step.bestEffort) return 0
	return isUrgentOn(work, speed, epoch) ? URGENT_PENALTY : -SLACK_BONUS
}

/**
 * Whether a worker's speed would make a step late that can still be useful. Always true for a gang,
 * which holds all its workers for as long as the slowest of them takes.
 */
function isUrgentOn(work: StepWork, speed: number, epoch: number): boolean {
	if (work.step.gang) return true
	if (usefulnessOf(work.times, epoch) === Usefulness.TooLate) return false
	const longer = work.step.expectedTime / speed - work.step.expectedTime
	return longer > work.urgency.latestStart - epoch
}

/**
 * @param options - workers that may run a step.
 * @param now - the moment, on the leader's clock.
 * @returns the workers to consider now: for a gang that ends sooner if it waits for workers of
 * similar speed, only those.
 * @internal
 */
export function selectSimilarSpeed(
	work: StepWork,
	options: readonly WorkerOption[],
	now: number
): readonly WorkerOption[] {
	if (!work.step.gang) return options
	const fast = options.filter(({ view }) => view.speed >= SLOW_BELOW)
	if (fast.length === options.length || !canHoldGang(work, fast)) return options
	const slowest = Math.min(...options.map(({ view }) => view.speed))
	const gained = work.step.expectedTime / slowest - work.step.expectedTime
	return work.getWaitTime(now) < Math.min(MAX_WAIT_MS, gained * WAIT_SHARE) ? fast : options
}

/** Whether the workers could run the whole gang if they had nothing else to run. */
function canHoldGang(work: StepWork, options: readonly WorkerOption[]): boolean {
	let tasks = 0
	for (const { view, account } of options)
		tasks += work.countFittingTasks(view.id, account.capacity)
	return tasks >= work.step.count
}
