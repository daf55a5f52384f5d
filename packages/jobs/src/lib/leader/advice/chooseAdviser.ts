/** Chooses the instance through which the next question is asked. */
import type { AdviserStatus } from './AdviserStatus'

/** What the choice compares. @internal */
export interface RankedAdviser extends AdviserStatus {
	/** Until when it is asked last, since it brought no answer; 0 once that is over. */
	readonly cooldownUntil: number
}

/**
 * @param free - instances that can be asked, at least one.
 * @param rank - tells how well each of them can ask.
 * @returns the punctual one, among those the most rested, least loaded and not small; the first of those that are alike.
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
