/**
 * Weighted max-min fairness: capacity is divided by weight, and what one contender doesn't want
 * goes to the others.
 */

/** One of those that compete for capacity. @public */
export interface Contender {
	/** Its weight relative to the others, above 0. */
	readonly weight: number
	/** The most that it can use, in the unit of the capacity; infinite for no limit. */
	readonly maxUse: number
}

/**
 * Computes the max-min fair level: each contender gets its weight times the level, or the most that
 * it can use.
 *
 * @param contenders - the contenders.
 * @param capacity - the capacity to divide among them.
 * @returns the level; infinite if the capacity suffices for all that they can use.
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
