/**
 * How the speeds of workers weigh in the choice of one: work in a hurry prefers those that aren't slow, and what has time to spare, or comes
 * too late on any, fills the slow ones, so that the others have room for what is in a hurry.
 */
import type { WorkerOption } from '../leader/steps/chooseWorkerForStep'
import type { StepWork } from '../leader/steps/StepWork'
import { Usefulness, usefulnessOf } from '../placement/Usefulness'

/** Speed, as a share of the median, under which a worker is passed by where there are others. */
const SLOW_BELOW = 0.75
/** Added for a slow worker where work is in a hurry: more than the fit of any two workers differs by. */
const HURRY_PENALTY = 4
/** Taken off for a slow worker where work has time: as much as a worker that is half full has over an empty one. */
const SLACK_BONUS = 0.5
/** Share of the time that a gang gains by running on none that is slow, for which it waits for their room. */
const HELD_SHARE = 0.5
/** Milliseconds for which a gang waits so at most. */
const MOST_HELD = 2000

/**
 * @param speed - of the worker, as a share of the median.
 * @param epoch - now, in milliseconds since the epoch.
 * @returns what the worker's speed adds to its score for a task of the step; less is better.
 * @internal
 */
export function speedScore(work: StepWork, speed: number, epoch: number): number {
	const { step } = work
	if (speed >= SLOW_BELOW || step.lasting || step.bestEffort) return 0
	return isHurried(work, speed, epoch) ? HURRY_PENALTY : -SLACK_BONUS
}

/** Whether a worker's speed would make a step late that can still be of use. A gang holds all its workers for as long as its slowest takes. */
function isHurried(work: StepWork, speed: number, epoch: number): boolean {
	if (work.step.gang) return true
	if (usefulnessOf(work.times, epoch) === Usefulness.TooLate) return false
	const longer = work.step.expectedTime / speed - work.step.expectedTime
	return longer > work.urgency.latestStart - epoch
}

/**
 * @param options - workers that may run a step.
 * @param now - the moment, on the leader's clock.
 * @returns those that are considered now: for a gang that ends sooner by waiting for workers of like speed, only these.
 * @internal
 */
export function atLikeSpeed(
	work: StepWork,
	options: readonly WorkerOption[],
	now: number
): readonly WorkerOption[] {
	if (!work.step.gang) return options
	const fast = options.filter(({ view }) => view.speed >= SLOW_BELOW)
	if (fast.length === options.length || !couldHold(work, fast)) return options
	const slowest = Math.min(...options.map(({ view }) => view.speed))
	const gained = work.step.expectedTime / slowest - work.step.expectedTime
	return work.getWaitTime(now) < Math.min(MOST_HELD, gained * HELD_SHARE) ? fast : options
}

/** Whether workers that have nothing else to do would have room for the whole gang. */
function couldHold(work: StepWork, options: readonly WorkerOption[]): boolean {
	let tasks = 0
	for (const { view, account } of options)
		tasks += work.countFittingTasks(view.id, account.capacity)
	return tasks >= work.step.count
}
