/**
 * Limits how many starts may be under way at a time: decided and not yet confirmed by their
 * workers. Starts that wait in queues between the leader and the workers time out and are sent
 * again, and these queues ignore urgency. While the cell is behind with starts, the rest therefore
 * waits here, ordered by urgency.
 */

/** Least size of the window. */
const MIN_SIZE = 16
/** Smallest factor that one decrease applies to the window. */
const MIN_DECREASE_FACTOR = 0.5
/** How the window grows after a period in which the cell kept up. */
const INCREASE = { factor: 1.2, increment: 4 } as const
/** Size above which a window has no effect and is removed. */
const UNBOUNDED_SIZE = 4000
/** Share of the target delay below which the median delay has to be for the window to grow. */
const INCREASE_BELOW = 0.5

/**
 * Adapts the number of concurrent starts to their delay.
 *
 * @internal
 */
export class StartWindow {
	private limit = Number.POSITIVE_INFINITY

	/** How many starts may be under way; infinite while the cell keeps up. */
	get size(): number {
		return this.limit
	}

	/** Whether the number of starts is limited. */
	get isBounded(): boolean {
		return Number.isFinite(this.limit)
	}

	/** @returns whether another start may be decided. */
	admits(underWay: number): boolean {
		return underWay < this.limit
	}

	/**
	 * Updates the window from the starts of a period.
	 *
	 * @param delay - median delay of the starts in milliseconds, the upper one of two.
	 * @param targetDelay - milliseconds that the median may take.
	 * @param underWay - how many starts are under way.
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
