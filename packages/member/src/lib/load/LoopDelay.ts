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
export const LATE_LOOP = 60
/** Milliseconds below which a loop that was late is so no longer. @internal */
export const PUNCTUAL_LOOP = 20

/** Milliseconds over which the delay is averaged. */
const SPAN = 1000
/** Milliseconds that one reading counts for at most, so that a long standstill is soon forgotten. */
const MOST = 500

/**
 * The delay of one event loop.
 *
 * @internal
 */
export class LoopDelay {
	private average = 0
	/** Milliseconds that the last firing was late. */
	private lastLate = 0

	/**
	 * @param period - milliseconds between two firings of the timer, were it never late.
	 * @param firedAt - when it was set.
	 */
	constructor(
		private readonly period: number,
		private firedAt: number
	) {}

	/** Milliseconds that the loop is late, averaged over the last second. */
	get mean(): number {
		return this.average
	}

	/** The timer fires. */
	fired(now: number): void {
		const passed = now - this.firedAt
		this.firedAt = now
		const late = Math.min(MOST, Math.max(0, passed - this.period))
		const share = 1 - Math.exp(-Math.min(passed, MOST) / SPAN)
		// A process that stood still once, while it started or its machine was stopped, is not overloaded.
		const steady = Math.min(late, this.lastLate)
		this.lastLate = late
		this.average += (steady - this.average) * share
	}
}
