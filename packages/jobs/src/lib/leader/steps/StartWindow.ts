/**
 * How many starts may be under way at a time: decided, and not yet confirmed by their workers. Starts that wait in queues between the leader and the
 * workers time out and are sent again, and no order of urgency holds there; while the cell is behind with them, what waits does so here, the most
 * urgent first.
 */

/** Starts that may be under way at least. */
const MIN_SIZE = 16
/** The window is multiplied by no less than this when the cell is behind. */
const MIN_DECREASE_FACTOR = 0.5
/** By how much the window grows after a period in which the cell kept up. */
const INCREASE = { factor: 1.2, increment: 4 } as const
/** Starts under way from which a window has no effect. */
const UNBOUNDED_SIZE = 4000
/** Share of the bound below which half of the starts must be for the window to grow. */
const INCREASE_BELOW = 0.5

/**
 * The window of starts.
 *
 * @internal
 */
export class StartWindow {
	private limit = Number.POSITIVE_INFINITY

	/** Starts that may be under way; infinite while the cell keeps up. */
	get size(): number {
		return this.limit
	}

	/** Whether there is a bound. */
	get isBounded(): boolean {
		return Number.isFinite(this.limit)
	}

	/** @returns whether another start may be decided. */
	admits(underWay: number): boolean {
		return underWay < this.limit
	}

	/**
	 * Takes what the starts of a period have shown.
	 *
	 * @param delay - milliseconds that half of them took at least.
	 * @param targetDelay - milliseconds that half of them may take.
	 * @param underWay - starts that are under way.
	 */
	update(delay: number, targetDelay: number, underWay: number): void {
		if (delay > targetDelay) this.decrease(targetDelay / delay, underWay)
		else if (delay < targetDelay * INCREASE_BELOW) this.increase()
	}

	private decrease(ratio: number, underWay: number): void {
		const factor = Math.max(MIN_DECREASE_FACTOR, ratio)
		this.limit = Math.max(MIN_SIZE, Math.floor(Math.min(this.limit, underWay) * factor))
	}

	private increase(): void {
		const next = this.limit * INCREASE.factor + INCREASE.increment
		this.limit = next > UNBOUNDED_SIZE ? Number.POSITIVE_INFINITY : Math.floor(next)
	}
}
