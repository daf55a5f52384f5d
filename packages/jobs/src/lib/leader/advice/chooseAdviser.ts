/** Chooses the instance through which the next question is asked. */
import type { AdviserStatus } from './AdviserStatus'

/** The status of an instance and its cooldown. @internal */
export interface RankedAdviser extends AdviserStatus {
	/**
	 * Until when it is used last because it returned no answer, on the leader's clock; 0 if it is
	 * not.
	 */
	readonly cooldownUntil: number
}

/**
 * @param free - instances that can be asked, at least one.
 * @param rank - returns the properties by which an instance is ranked.
 * @returns the best instance: not late, then with the earliest end of its cooldown, then the least
 * loaded, then not small; the first one among equals.
 * @internal
 */
export function chooseAdviser(
	free: readonly string[],
	rank: (via: string) => RankedAdviser
): string {
	let best = free[0]
	let bestRank = rank(best)
	for (const via of free.slice(1)) {
		const own = rank(via)
		if (compare(own, bestRank) >= 0) continue
		best = via
		bestRank = own
	}
	return best
}

function compare(left: RankedAdviser, right: RankedAdviser): number {
	return (
		Number(left.isLate) - Number(right.isLate) ||
		left.cooldownUntil - right.cooldownUntil ||
		left.load - right.load ||
		Number(left.isSmall) - Number(right.isSmall)
	)
}
