/** Estimates the share of workers that the policy of each queue recently allowed. */

/** Share that is assumed before there are answers. */
const PRIOR_SHARE = 0.35
/** Weight of the assumption, in answers about single workers. */
const PRIOR_WEIGHT = 6
/** Number of answers at which the counts are halved, since a policy may change. */
const MAX_COUNTED_ANSWERS = 400

interface Count {
	asked: number
	allowed: number
}

/**
 * The estimated share of allowed workers of each queue.
 *
 * @internal
 */
export class AllowedShare {
	private readonly counts = new Map<string, Count>()

	/** @returns the estimated share of a queue, from 0 to 1. */
	shareOf(queue: string): number {
		const { asked, allowed } = this.counts.get(queue) ?? { asked: 0, allowed: 0 }
		return (allowed + PRIOR_SHARE * PRIOR_WEIGHT) / (asked + PRIOR_WEIGHT)
	}

	/** Records an answer by the number of workers asked about and the number of those allowed. */
	record(queue: string, asked: number, allowed: number): void {
		const count = this.counts.get(queue) ?? { asked: 0, allowed: 0 }
		this.counts.set(queue, count)
		count.asked += asked
		count.allowed += allowed
		if (count.asked < MAX_COUNTED_ANSWERS) return
		count.asked /= 2
		count.allowed /= 2
	}
}
