/**
 * A worker's lease, measured on two clocks. The worker keeps its runs until a time on its own
 * clock, which the controller knows only from readings. The worker's clock may run slow by a known
 * fraction, but never fast.
 */
import type { LeaderTiming } from '../LeaderTiming'

/** Largest share of a lease that may be lost because the last reading of the clock is old. */
const MAX_LOSS_SHARE = 0.1

/**
 * @param granted - duration of a lease on its worker's clock, in milliseconds.
 * @returns milliseconds on the leader's clock after which the lease is certainly over.
 * @internal
 */
export function longestLease(
	granted: number,
	{ clockDrift, leaseMargin }: Pick<LeaderTiming, 'clockDrift' | 'leaseMargin'>
): number {
	return granted / (1 - clockDrift) + leaseMargin
}

/**
 * The lease of one incarnation of a worker.
 *
 * No renewal lasts longer than {@link longestLease} of `timing.lease`, however old the reading from
 * which it was computed: the next leader, which does not know that reading, relies on this.
 *
 * @internal
 */
export class Lease {
	/** The reading that puts the worker's clock furthest ahead; all of them are lower bounds. */
	private reading: { readonly value: number; readonly at: number } | undefined

	/**
	 * @param timing - the cell's durations and timeouts.
	 * @param certainlyOverAt - when every lease that earlier leaders granted is certainly over, on
	 * the leader's clock.
	 */
	constructor(
		private readonly timing: LeaderTiming,
		private certainlyOverAt: number
	) {}

	/** When the lease is certainly over, on the leader's clock. */
	get endsAt(): number {
		return this.certainlyOverAt
	}

	/** Whether a reading of the worker's clock is known. */
	get isClockKnown(): boolean {
		return this.reading !== undefined
	}

	/** Whether a lease would be much shorter than usual for want of a recent reading of the clock. */
	isClockStale(now: number): boolean {
		const { lease, clockDrift } = this.timing
		const age = now - (this.reading?.at ?? Number.NEGATIVE_INFINITY)
		return age * clockDrift > lease * MAX_LOSS_SHARE
	}

	/**
	 * Records a reading of the worker's clock, unless an earlier one says more about the present.
	 *
	 * @param value - what the worker's clock showed.
	 * @param at - a moment on the leader's clock, no earlier than that reading.
	 */
	recordClock(value: number, at: number): void {
		// Workers report whole milliseconds.
		if (this.reading && value < Math.floor(this.earliestClock(this.reading, at))) return
		this.reading = { value, at }
	}

	/**
	 * Renews the lease. The worker has the renewal only if it receives the returned time.
	 *
	 * @param now - the current time on the leader's clock.
	 * @returns until when the worker may keep its runs, on its own clock; undefined before its clock
	 * was read.
	 */
	renew(now: number): number | undefined {
		if (!this.reading) return undefined
		const { lease } = this.timing
		this.certainlyOverAt = Math.max(this.certainlyOverAt, now + longestLease(lease, this.timing))
		return Math.floor(this.earliestClock(this.reading, now) + lease)
	}

	/** @returns the least that the worker's clock may show at a moment on the leader's clock. */
	private earliestClock({ value, at }: { value: number; at: number }, now: number): number {
		return value + (now - at) * (1 - this.timing.clockDrift)
	}

	/** Whether no granted lease can still be in force. */
	isOver(now: number): boolean {
		return now > this.certainlyOverAt
	}
}
