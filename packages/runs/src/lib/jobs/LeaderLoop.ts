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
	private messages: (() => void)[] = []

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
	onMessage(callback: () => void): void {
		if (this.isStalled) this.messages.push(callback)
		else callback()
	}

	/** A timer is due. */
	onTimer(callback: () => void): void {
		if (this.isStalled) this.timers.push(callback)
		else callback()
	}

	/** Goes on with what has waited: timers come before messages, as in Node. */
	resume(): void {
		if (this.isStalled) return
		const due = [...this.timers, ...this.messages]
		this.timers = []
		this.messages = []
		for (const callback of due) callback()
	}

	/** The process has ended, with all that waited. */
	clear(): void {
		this.stalledUntil = Number.NEGATIVE_INFINITY
		this.timers = []
		this.messages = []
	}
}
