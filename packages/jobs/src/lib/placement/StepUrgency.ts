/**
 * In which order waiting steps are placed: priority first, and within it by the latest moment at which a step has to begin
 * for its job to be in time. What is late already goes first of its priority, so that no job waits for ever; that it
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
	readonly priority: number
	/** The latest moment to begin, milliseconds since the epoch. */
	readonly latestStart: number
}

/**
 * @param priority - of the step's queue; 0 goes first.
 * @param times - when it has to begin.
 * @internal
 */
export function urgencyOf(priority: number, { deadline, remaining }: StepTimes): Urgency {
	return { priority, latestStart: deadline - remaining }
}

/** Orders by urgency, the most urgent first. @internal */
export function compareUrgency(left: Urgency, right: Urgency): number {
	return left.priority - right.priority || left.latestStart - right.latestStart
}
