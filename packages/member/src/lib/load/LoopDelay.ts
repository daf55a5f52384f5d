/**
 * Measures event loop delay: a timer that fires late shows how long everything else that is due has
 * waited. The sample comes from a timer that the instance needs anyway.
 */

/**
 * Milliseconds of delay from which a loop is late. An interactive job should end within 250 ms, and
 * the answer to its submission may take a quarter of that.
 *
 * @internal
 */
export const LATE_LOOP_MS = 60
/** Milliseconds of delay below which a late loop is punctual again. @internal */
export const PUNCTUAL_LOOP_MS = 20

/** Milliseconds over which the delay is averaged by default. */
const AVERAGING_WINDOW_MS = 1000
/** Upper bound of one sample in milliseconds, so that a long stall soon drops out of the average. */
const MAX_SAMPLE_MS = 500

/**
 * Averages the delay of one event loop.
 *
 * @public
 */
export class LoopDelay {
	private average = 0
	/** Milliseconds by which the last firing was late. */
	private lastDelay = 0

	/**
	 * @param period - the timer's period in milliseconds.
	 * @param lastFiredAt - when the timer was set.
	 * @param window - milliseconds over which the delay is averaged.
	 */
	constructor(
		private readonly period: number,
		private lastFiredAt: number,
		private readonly window = AVERAGING_WINDOW_MS
	) {}

	/** Average delay of the loop in milliseconds. */
	get mean(): number {
		return this.average
	}

	/** Records that the timer has fired. */
	onTimer(now: number): void {
		const elapsed = now - this.lastFiredAt
		this.lastFiredAt = now
		const delay = Math.min(MAX_SAMPLE_MS, Math.max(0, elapsed - this.period))
		const share = 1 - Math.exp(-Math.min(elapsed, MAX_SAMPLE_MS) / this.window)
		// A single stall, such as at process start or while the machine was suspended, is not overload.
		const sustained = Math.min(delay, this.lastDelay)
		this.lastDelay = delay
		this.average += (sustained - this.average) * share
	}
}
