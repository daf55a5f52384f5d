/** The order in which waiting steps are tried within one pass, as accounts come to hold more. */
import type { Urgency } from '../placement/StepUrgency'
import { compareTier } from '../placement/StepUrgency'

/** A step with what orders it. @internal */
export interface OrderedStep {
	readonly urgency: Urgency
}

/**
 * Puts back a step whose account has gone over its share since the pass began, behind the others of its priority and usefulness. Each
 * step is tried once, so that room which only the accounts over their shares want is theirs.
 *
 * @param steps - by urgency, the most urgent first.
 * @param isOver - whether the account of a step is over its share at this moment.
 * @returns the steps one by one; the next one follows from what was begun before it is asked for.
 * @internal
 */
export function* orderByShare<T extends OrderedStep>(
	steps: readonly T[],
	isOver: (step: T) => boolean
): Generator<T> {
	let deferred: T[] = []
	let previous: T | undefined
	for (const step of steps) {
		if (previous && compareTier(previous.urgency, step.urgency) !== 0) {
			yield* byLatestStart(deferred)
			deferred = []
		}
		previous = step
		if (isOver(step)) deferred.push(step)
		else yield step
	}
	yield* byLatestStart(deferred)
}

function byLatestStart<T extends OrderedStep>(steps: T[]): T[] {
	return steps.sort((left, right) => left.urgency.latestStart - right.urgency.latestStart)
}
