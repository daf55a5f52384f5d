/**
 * Time as the rest of the system sees it. Decisions never read the machine's clock: they are handed
 * a moment, and the process that drives them is handed a `Clock`.
 */

/** A pending call that can be withdrawn. @public */
export abstract class Timer {
	/** Withdraws the call. Does nothing once the call was made. */
	abstract cancel(): void
}

/**
 * The source of time and of timed calls.
 *
 * @public
 */
export abstract class Clock {
	/** @returns milliseconds on a monotonic clock; only differences mean something. */
	abstract now(): number

	/** @returns the calendar time, for records that people read; never for leases. */
	abstract date(): Date

	/** @returns by how many milliseconds the calendar is ahead of the steady clock; only differences mean something. */
	ahead(): number {
		return this.date().getTime() - this.now()
	}

	/**
	 * Calls back once.
	 *
	 * @param delay - milliseconds from now.
	 * @param call - what to call.
	 * @returns the timer, so that it can be cancelled.
	 */
	abstract after(delay: number, call: () => void): Timer

	/**
	 * Calls back again and again until cancelled.
	 *
	 * @param period - milliseconds between calls.
	 * @param call - what to call.
	 */
	every(period: number, call: () => void): Timer {
		return new RepeatingTimer(this, period, call)
	}
}

/** A timer that sets itself again after every call. @internal */
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
