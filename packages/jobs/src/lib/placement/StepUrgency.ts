/**
 * In which order waiting steps are placed: work that accounts sent within their rates first, then priority; of one priority what can still
 * be in time, then what its caller has still some use of, then the rest; of these what is within its account's share; and of these the latest moment at which a step has to begin for
 * its job to be in time.
 */
import { Usefulness } from './Usefulness'

/** When a step has to begin; milliseconds since the epoch. @internal */
export interface StepTimes {
	/** When its job should be done. */
	readonly deadline: number
	/** When its job is of no use to its caller any more. */
	readonly usefulUntil: number
	/** Milliseconds that it and the longest chain of steps after it are expected to take. */
	readonly remaining: number
}

/** What orders steps: lower goes first. @internal */
export interface Urgency {
	/** Whether its account sent its job beyond its rate. */
	readonly beyondRate: boolean
	readonly priority: number
	/** Of how much use it still is. */
	readonly usefulness: Usefulness
	/** Whether its account has more than its share. */
	readonly overShare: boolean
	/** The latest moment to begin, milliseconds since the epoch. */
	readonly latestStart: number
}

/** What a step's place in the order follows from, besides its times. @internal */
export interface UrgencyFactors {
	/** Of the step's queue; 0 goes first. */
	readonly priority: number
	/** Whether its account sent its job beyond its rate. */
	readonly beyondRate?: boolean
	readonly usefulness?: Usefulness
	readonly overShare?: boolean
}

/** @returns what orders a step that has to begin at these times. @internal */
export function urgencyOf(
	{ deadline, remaining }: StepTimes,
	{
		priority,
		beyondRate = false,
		usefulness = Usefulness.InTime,
		overShare = false,
	}: UrgencyFactors
): Urgency {
	return { beyondRate, priority, usefulness, overShare, latestStart: deadline - remaining }
}

/** Orders by what goes before any account's share, the most urgent first. @internal */
export function compareTier(left: Urgency, right: Urgency): number {
	const rate = Number(left.beyondRate) - Number(right.beyondRate)
	const priority = left.priority - right.priority
	return rate || priority || left.usefulness - right.usefulness
}

/** Orders by urgency, the most urgent first. @internal */
export function compareUrgency(left: Urgency, right: Urgency): number {
	const share = Number(left.overShare) - Number(right.overShare)
	return compareTier(left, right) || share || left.latestStart - right.latestStart
}

/** Makes what is within its account's share rank before all deadlines, which are milliseconds since the epoch. */
const SHARE_RANK = 2e12
/** Makes every degree of usefulness rank before all shares. */
const USEFULNESS_RANK = 4e12
/** Makes every priority rank before all degrees of usefulness. */
const PRIORITY_RANK = 2e13
/** Makes every priority within its account's rate rank before all that is beyond; fifty of them are told apart. */
const BEYOND_RATE_RANK = 1e15

/** @returns the urgency as a number, lower for what goes first. @internal */
export function rankOf(urgency: Urgency): number {
	const { beyondRate, priority, usefulness, overShare, latestStart } = urgency
	const rate = beyondRate ? BEYOND_RATE_RANK : 0
	const share = overShare ? SHARE_RANK : 0
	const use = usefulness * USEFULNESS_RANK
	return rate + priority * PRIORITY_RANK + use + share + latestStart
}
