/** The event loop of a run's leader: while it stands still, what comes for it waits, as in a process that has lost its processor. */
import type { Clock } from '@rillrudder/utils'

/**
 * The leader's event loop.
 *
 * @internal
 */
export class LeaderLoop {
	private stalledUntil = Number.NEGATIVE_INFINITY
	private timers: (() => void)[] = []
	private arrivals: (() => void)[] = []

	/** @param clock - the run's clock. */
	constructor(private readonly clock: Clock) {}

	/** Whether it stands still now. */
	get isStalled(): boolean {
		return this.clock.now() < this.stalledUntil
	}

	/** It stands still for a span, in milliseconds. */
	stall(span: number): void {
		this.stalledUntil = Math.max(this.stalledUntil, this.clock.now() + span)
	}

	/** A message has come. */
	arrived(call: () => void): void {
		if (this.isStalled) this.arrivals.push(call)
		else call()
	}

	/** A timer is due. */
	timerDue(call: () => void): void {
		if (this.isStalled) this.timers.push(call)
		else call()
	}

	/** Goes on with what has waited: timers come before messages, as in Node. */
	resume(): void {
		if (this.isStalled) return
		const due = [...this.timers, ...this.arrivals]
		this.timers = []
		this.arrivals = []
		for (const call of due) call()
	}

	/** The process has ended, with all that waited. */
	end(): void {
		this.stalledUntil = Number.NEGATIVE_INFINITY
		this.timers = []
		this.arrivals = []
	}
}
