/** Orders the waiting steps of one pass while the shares that accounts hold grow. */
import type { Urgency } from '../placement/StepUrgency'
import { compareTier } from '../placement/StepUrgency'

/** A step with the urgency that orders it. @internal */
export interface OrderedStep {
	readonly urgency: Urgency
}

/**
 * Defers a step whose account has gone over its share since the pass started, behind the other
 * steps of its tier: the same priority and usefulness. Every step is still tried once, so that
 * accounts over their shares get the capacity that nobody else wants.
 *
 * @param steps - by urgency, the most urgent first.
 * @param isOver - returns whether the account of a step is over its share at this moment.
 * @returns the steps, lazily: each one depends on which steps the caller has started before
 * requesting it.
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
