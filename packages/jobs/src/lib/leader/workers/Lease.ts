/**
 * A worker's lease, measured on two clocks. The worker keeps its runs until a time on its own
 * clock. The controller must know when that time has certainly passed, and knows only a bound on
 * how slow the worker's clock may run.
 */
import type { LeaderTiming } from '../LeaderTiming'

/**
 * The lease of one incarnation of a worker.
 *
 * @internal
 */
export class Lease {
	private reading: { readonly value: number; readonly at: number } | undefined
	private grantedUntil = Number.NEGATIVE_INFINITY

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

	/**
	 * Records a reading of the worker's clock; a reading lower than the latest one is ignored.
	 *
	 * @param value - what the worker's clock showed.
	 * @param now - a moment on the leader's clock, no earlier than that reading.
	 */
	recordClock(value: number, now: number): void {
		const { reading } = this
		if (reading && value < reading.value) return
		this.reading = { value, at: now }
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
		const { value, at } = this.reading
		const leaseUntil = Math.floor(value + (now - at) + this.timing.lease)
		this.grantedUntil = Math.max(this.grantedUntil, leaseUntil)
		const latest = at + (this.grantedUntil - value) / (1 - this.timing.clockDrift)
		this.certainlyOverAt = Math.max(this.certainlyOverAt, latest + this.timing.leaseMargin)
		return leaseUntil
	}

	/** Whether no granted lease can still be in force. */
	isOver(now: number): boolean {
		return now > this.certainlyOverAt
	}
}
