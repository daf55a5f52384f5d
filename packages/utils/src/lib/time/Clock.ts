/**
 * The clock that the rest of the system uses. Decision logic never reads the system clock: it
 * receives the current time as an argument, and the process that drives it receives a `Clock`.
 */

/** A scheduled call that can be cancelled. @public */
export abstract class Timer {
	/** Cancels the call. Has no effect after the call was made. */
	abstract cancel(): void
}

/**
 * A source of time and timers.
 *
 * @public
 */
export abstract class Clock {
	/** @returns milliseconds on a monotonic clock; only differences are meaningful. */
	abstract now(): number

	/** @returns the wall-clock time, for records that people read; never use it for leases. */
	abstract date(): Date

	/**
	 * @returns milliseconds by which the wall clock is ahead of the monotonic clock; only differences
	 * are meaningful.
	 */
	ahead(): number {
		return this.date().getTime() - this.now()
	}

	/**
	 * Calls a function once.
	 *
	 * @param delay - milliseconds from now.
	 * @param call - the function to call.
	 * @returns the timer, which can be cancelled.
	 */
	abstract after(delay: number, call: () => void): Timer

	/**
	 * Calls a function periodically until cancelled.
	 *
	 * @param period - milliseconds between calls.
	 * @param call - the function to call.
	 * @returns the timer, which can be cancelled.
	 */
	every(period: number, call: () => void): Timer {
		return new RepeatingTimer(this, period, call)
	}
}

/** A timer that is rescheduled before every call. @internal */
class RepeatingTimer extends Timer {
	private current: Timer

	constructor(
		private readonly clock: Clock,
		private readonly period: number,
		private readonly call: () => void
	) {
		super()
		this.current = clock.after(period, () => this.fire())
	}

	private fire(): void {
		this.current = this.clock.after(this.period, () => this.fire())
		this.call()
	}

	override cancel(): void {
		this.current.cancel()
	}
}
