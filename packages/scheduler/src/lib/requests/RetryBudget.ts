/** Keeps retries to a share of first attempts, so that they cannot make an overload worse. */

const MOST_SAVED = 100

/**
 * A budget that first attempts fill and retries spend.
 *
 * @public
 */
export class RetryBudget {
	private saved = 0

	/** @param share - retries for each first attempt, from 0 to 1. */
	constructor(public share: number) {}

	/** A first attempt was made. */
	onFirstAttempt(): void {
		this.saved = Math.min(MOST_SAVED, this.saved + this.share)
	}

	/** @returns whether a retry may be made; if so, it is spent. */
	trySpend(): boolean {
		if (this.saved < 1) return false
		this.saved -= 1
		return true
	}
}
