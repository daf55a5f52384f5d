/** Which share of workers each queue's policy has allowed of late. */

/** Share that is assumed until answers tell more. */
const ASSUMED = 0.35
/** Answers about single workers that the assumption weighs as much as. */
const ASSUMED_WEIGHT = 6
/** Answers from which older ones count half: a policy may change. */
const KEPT = 400

interface Count {
	asked: number
	allowed: number
}

/**
 * The share of workers that each queue's policy allows.
 *
 * @internal
 */
export class AllowedShare {
	private readonly counts = new Map<string, Count>()

	/** @returns the share for a queue, from 0 to 1. */
	shareOf(queue: string): number {
		const { asked, allowed } = this.counts.get(queue) ?? { asked: 0, allowed: 0 }
		return (allowed + ASSUMED * ASSUMED_WEIGHT) / (asked + ASSUMED_WEIGHT)
	}

	/** An answer has told of so many workers, so many of which are allowed. */
	record(queue: string, asked: number, allowed: number): void {
		const count = this.counts.get(queue) ?? { asked: 0, allowed: 0 }
		this.counts.set(queue, count)
		count.asked += asked
		count.allowed += allowed
		if (count.asked < KEPT) return
		count.asked /= 2
		count.allowed /= 2
	}
}
