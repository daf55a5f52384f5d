/**
 * How many starts may be under way at a time: decided, and not yet confirmed by their workers. Starts that wait in queues between the leader and the
 * workers time out and are sent again, and no order of urgency holds there; while the cell is behind with them, what waits does so here, the most
 * urgent first.
 */

/** Starts that may be under way at least. */
const LEAST = 16
/** The window is multiplied by no less than this when the cell is behind. */
const DECREASE = 0.5
/** By how much the window grows after a period in which the cell kept up. */
const INCREASE = { factor: 1.2, more: 4 } as const
/** Starts under way from which a window has no effect. */
const NO_WINDOW = 4000
/** Share of the bound below which half of the starts must be for the window to grow. */
const KEEPS_UP_BELOW = 0.5

/**
 * The window of starts.
 *
 * @internal
 */
export class StartWindow {
	private most = Number.POSITIVE_INFINITY

	/** Starts that may be under way; infinite while the cell keeps up. */
	get size(): number {
		return this.most
	}

	/** Whether there is a bound. */
	get isBounded(): boolean {
		return Number.isFinite(this.most)
	}

	/** @returns whether another start may be decided. */
	admits(underWay: number): boolean {
		return underWay < this.most
	}

	/**
	 * Takes what the starts of a period have shown.
	 *
	 * @param delay - milliseconds that half of them took at least.
	 * @param bound - milliseconds that half of them may take.
	 * @param underWay - starts that are under way.
	 */
	judge(delay: number, bound: number, underWay: number): void {
		if (delay > bound) this.decrease(bound / delay, underWay)
		else if (delay < bound * KEEPS_UP_BELOW) this.increase()
	}

	private decrease(share: number, underWay: number): void {
		const factor = Math.max(DECREASE, share)
		this.most = Math.max(LEAST, Math.floor(Math.min(this.most, underWay) * factor))
	}

	private increase(): void {
		const next = this.most * INCREASE.factor + INCREASE.more
		this.most = next > NO_WINDOW ? Number.POSITIVE_INFINITY : Math.floor(next)
	}
}
