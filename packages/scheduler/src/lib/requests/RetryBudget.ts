/** Limits retries to a share of first attempts, so that they can't worsen an overload. */

/** Maximum number of retries that can be saved up. */
const MAX_BALANCE = 100

/**
 * A budget that first attempts replenish and retries spend.
 *
 * @public
 */
export class RetryBudget {
	private balance = 0

	/** @param share - the number of retries per first attempt, from 0 to 1. */
	constructor(public share: number) {}

	/** Adds the share of a first attempt to the budget. */
	onFirstAttempt(): void {
		this.balance = Math.min(MAX_BALANCE, this.balance + this.share)
	}

	/** Spends one retry if the budget allows it. @returns whether it does. */
	trySpend(): boolean {
		if (this.balance < 1) return false
		this.balance -= 1
		return true
	}
}
