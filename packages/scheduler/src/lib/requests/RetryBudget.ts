/** Keeps retries to a share of first attempts, so that they cannot make an overload worse. */

const MAX_BALANCE = 100

/**
 * A budget that first attempts fill and retries spend.
 *
 * @public
 */
export class RetryBudget {
	private balance = 0

	/** @param share - retries for each first attempt, from 0 to 1. */
	constructor(public share: number) {}

	/** A first attempt was made. */
	onFirstAttempt(): void {
		this.balance = Math.min(MAX_BALANCE, this.balance + this.share)
	}

	/** @returns whether a retry may be made; if so, it is spent. */
	trySpend(): boolean {
		if (this.balance < 1) return false
		this.balance -= 1
		return true
	}
}
