/**
 * Divides room among those who want it: by weight, and what one doesn't want goes to the others.
 */

/** One that wants a part of the room. @public */
export interface Contender {
	/** Its weight relative to the others, above 0. */
	readonly weight: number
	/** The most that it can use, in the unit of the capacity; infinite for no limit. */
	readonly maxUse: number
}

/**
 * Weighted max-min fairness: each contender gets its weight times the level, or the most that it
 * can use.
 *
 * @param contenders - those who want room.
 * @param capacity - what there is for them.
 * @returns the level; infinite when there is room for all that they can use.
 * @public
 */
export function maxMinLevel(contenders: readonly Contender[], capacity: number): number {
	const byLevel = [...contenders].sort((left, right) => levelOf(left) - levelOf(right))
	let weight = contenders.reduce((sum, contender) => sum + contender.weight, 0)
	let remaining = Math.max(0, capacity)
	for (const contender of byLevel) {
		if (levelOf(contender) * weight >= remaining) return remaining / weight
		remaining -= contender.maxUse
		weight -= contender.weight
	}
	return Number.POSITIVE_INFINITY
}

/** The level at which a contender gets the most that it can use. */
function levelOf({ maxUse, weight }: Contender): number {
	return maxUse / weight
}
