/**
 * The order in which waiting steps are placed:
 *
 * 1. work that accounts submitted within their rates;
 * 2. priority;
 * 3. usefulness: what can still be in time, then what is still useful to its caller, then the rest;
 * 4. work within its account's share;
 * 5. the latest moment at which a step has to start for its job to be in time.
 */
import { Usefulness } from './Usefulness'

/** When a step has to start; in milliseconds since the epoch. @internal */
export interface StepTimes {
	/** When its job should be done. */
	readonly deadline: number
	/** When its job is no longer useful to its caller. */
	readonly usefulUntil: number
	/** Milliseconds that the step and the longest chain of steps after it are expected to take. */
	readonly remaining: number
}

/** Sort key of a step; lower values go first. @internal */
export interface Urgency {
	/** Whether its account sent its job beyond its rate. */
	readonly beyondRate: boolean
	readonly priority: number
	/** How useful the step still is. */
	readonly usefulness: Usefulness
	/** Whether its account uses more than its share. */
	readonly overShare: boolean
	/** The latest time to start, in milliseconds since the epoch. */
	readonly latestStart: number
}

/** What determines a step's urgency besides its times. @internal */
export interface UrgencyFactors {
	/** Priority of the step's queue; 0 is the highest. */
	readonly priority: number
	/** Whether its account sent its job beyond its rate. */
	readonly beyondRate?: boolean
	readonly usefulness?: Usefulness
	readonly overShare?: boolean
}

/** @returns the urgency of a step with the given times. @internal */
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

/**
 * Compares what takes precedence over any account's share; the most urgent goes first.
 *
 * @internal
 */
export function compareTier(left: Urgency, right: Urgency): number {
	const rate = Number(left.beyondRate) - Number(right.beyondRate)
	const priority = left.priority - right.priority
	return rate || priority || left.usefulness - right.usefulness
}

/** Compares urgencies; the most urgent goes first. @internal */
export function compareUrgency(left: Urgency, right: Urgency): number {
	const share = Number(left.overShare) - Number(right.overShare)
	return compareTier(left, right) || share || left.latestStart - right.latestStart
}

/**
 * Ranks everything within its account's share before everything over it; larger than any deadline
 * in milliseconds since the epoch.
 */
const SHARE_RANK = 2e12
/** Ranks by usefulness before account shares. */
const USEFULNESS_RANK = 4e12
/** Ranks by priority before usefulness. */
const PRIORITY_RANK = 2e13
/**
 * Ranks everything within its account's rate before everything beyond it; leaves room for fifty
 * priorities.
 */
const BEYOND_RATE_RANK = 1e15

/** @returns the urgency as a number; lower values go first. @internal */
export function rankOf(urgency: Urgency): number {
	const { beyondRate, priority, usefulness, overShare, latestStart } = urgency
	const rate = beyondRate ? BEYOND_RATE_RANK : 0
	const share = overShare ? SHARE_RANK : 0
	const use = usefulness * USEFULNESS_RANK
	return rate + priority * PRIORITY_RANK + use + share + latestStart
}
