/**
 * How late an event loop runs: a timer that fires late shows for how long whatever else is due has waited. It is read off a timer that
 * the instance has anyway.
 */

/**
 * Milliseconds from which a loop is late. An interactive job is to end within a quarter of a second, and the answer to its submission may
 * take a quarter of that.
 *
 * @internal
 */
export const LATE_LOOP_MS = 60
/** Milliseconds below which a loop that was late is so no longer. @internal */
export const PUNCTUAL_LOOP_MS = 20

/** Milliseconds over which the delay is averaged. */
const AVERAGING_WINDOW_MS = 1000
/** Milliseconds that one reading counts for at most, so that a long standstill is soon forgotten. */
const MAX_SAMPLE_MS = 500

/**
 * The delay of one event loop.
 *
 * @internal
 */
export class LoopDelay {
	private average = 0
	/** Milliseconds that the last firing was late. */
	private lastDelay = 0

	/**
	 * @param period - milliseconds between two firings of the timer, were it never late.
	 * @param lastFiredAt - when it was set.
	 */
	constructor(
		private readonly period: number,
		private lastFiredAt: number
	) {}

	/** Milliseconds that the loop is late, averaged over the last second. */
	get mean(): number {
		return this.average
	}

	/** The timer fires. */
	onTimer(now: number): void {
		const elapsed = now - this.lastFiredAt
		this.lastFiredAt = now
		const delay = Math.min(MAX_SAMPLE_MS, Math.max(0, elapsed - this.period))
		const share = 1 - Math.exp(-Math.min(elapsed, MAX_SAMPLE_MS) / AVERAGING_WINDOW_MS)
		// A process that stood still once, while it started or its machine was stopped, is not overloaded.
		const sustained = Math.min(delay, this.lastDelay)
		this.lastDelay = delay
		this.average += (sustained - this.average) * share
	}
}
