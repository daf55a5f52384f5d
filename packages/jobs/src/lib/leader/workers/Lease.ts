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
	private granted = Number.NEGATIVE_INFINITY

	/**
	 * @param timing - the cell's spans.
	 * @param overBy - when everything that earlier leaders granted is certainly over.
	 */
	constructor(
		private readonly timing: LeaderTiming,
		private overBy: number
	) {}

	/** When the lease is certainly over, on the leader's clock. */
	get endsBy(): number {
		return this.overBy
	}

	/** Whether the worker's clock has been read. */
	get known(): boolean {
		return this.reading !== undefined
	}

	/**
	 * Takes a reading of the worker's clock.
	 *
	 * @param value - what the worker's clock showed.
	 * @param now - a moment by which it had shown it.
	 */
	read(value: number, now: number): void {
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
		const until = Math.floor(value + (now - at) + this.timing.lease)
		this.granted = Math.max(this.granted, until)
		const latest = at + (this.granted - value) / (1 - this.timing.clockDrift)
		this.overBy = Math.max(this.overBy, latest + this.timing.leaseMargin)
		return until
	}

	/** Whether nothing that was granted can still run. */
	isOver(now: number): boolean {
		return now > this.overBy
	}
}
