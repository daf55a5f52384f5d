/**
 * A worker's lease, counted on two clocks. The worker keeps what it runs until a time on its own clock;
 * the controller must know when that is certainly over, and may only assume how slow the other clock is.
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
	 * @param timing - the cell's spans.
	 * @param certainlyOverAt - when everything that earlier leaders granted is certainly over.
	 */
	constructor(
		private readonly timing: LeaderTiming,
		private certainlyOverAt: number
	) {}

	/** When the lease is certainly over, on the leader's clock. */
	get endsAt(): number {
		return this.certainlyOverAt
	}

	/** Whether the worker's clock has been read. */
	get isClockKnown(): boolean {
		return this.reading !== undefined
	}

	/**
	 * Takes a reading of the worker's clock.
	 *
	 * @param value - what the worker's clock showed.
	 * @param now - a moment by which it had shown it.
	 */
	recordClock(value: number, now: number): void {
		const { reading } = this
		if (reading && value < reading.value) return
		this.reading = { value, at: now }
	}

	/**
	 * Renews the lease, as far as the worker hears of it.
	 *
	 * @param now - the moment.
	 * @returns until when the worker may go on, on its own clock; undefined before its clock was read.
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

	/** Whether nothing that was granted can still run. */
	isOver(now: number): boolean {
		return now > this.certainlyOverAt
	}
}
