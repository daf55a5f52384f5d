/**
 * In which order waiting steps are placed: work that accounts sent within their rates first, then priority, and within it
 * the latest moment at which a step has to begin for its job to be in time. What is late already goes first of its priority, so that no job waits for ever; that it
 * goes after what can still be in time was tried and brought nothing (see docs/POLICY.md).
 */

/** When a step has to begin; milliseconds since the epoch. @internal */
export interface StepTimes {
	/** When its job should be done. */
	readonly deadline: number
	/** Milliseconds that it and the longest chain of steps after it are expected to take. */
	readonly remaining: number
}

/** What orders steps: lower goes first. @internal */
export interface Urgency {
	/** Whether its account sent its job beyond its rate. */
	readonly beyondRate: boolean
	readonly priority: number
	/** The latest moment to begin, milliseconds since the epoch. */
	readonly latestStart: number
}

/**
 * @param priority - of the step's queue; 0 goes first.
 * @param times - when it has to begin.
 * @param beyondRate - whether its account sent its job beyond its rate.
 * @internal
 */
export function urgencyOf(
	priority: number,
	{ deadline, remaining }: StepTimes,
	beyondRate = false
): Urgency {
	return { beyondRate, priority, latestStart: deadline - remaining }
}

/** Orders by urgency, the most urgent first. @internal */
export function compareUrgency(left: Urgency, right: Urgency): number {
	const rate = Number(left.beyondRate) - Number(right.beyondRate)
	return rate || left.priority - right.priority || left.latestStart - right.latestStart
}

/** Makes every priority rank before all deadlines, which are milliseconds since the epoch. */
const PRIORITY_RANK = 1e13
/** Makes every priority within its account's rate rank before all that is beyond; a hundred of them are told apart. */
const BEYOND_RATE_RANK = 1e15

/** @returns the urgency as a number, lower for what goes first. @internal */
export function rankOf({ beyondRate, priority, latestStart }: Urgency): number {
	return (beyondRate ? BEYOND_RATE_RANK : 0) + priority * PRIORITY_RANK + latestStart
}
