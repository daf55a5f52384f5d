/**
 * The event loop of a run's leader. While it is stalled, timers and messages wait, as in a process
 * without CPU time.
 */
import type { Clock } from '@rillrudder/utils'

/**
 * The event loop of the leader's process.
 *
 * @internal
 */
export class LeaderLoop {
	private stalledUntil = Number.NEGATIVE_INFINITY
	private timers: (() => void)[] = []
	private messages: (() => void)[] = []

	/** @param clock - the run's clock. */
	constructor(private readonly clock: Clock) {}

	/** Whether the loop is stalled now. */
	get isStalled(): boolean {
		return this.clock.now() < this.stalledUntil
	}

	/** Stalls the loop for a number of milliseconds. */
	stall(span: number): void {
		this.stalledUntil = Math.max(this.stalledUntil, this.clock.now() + span)
	}

	/** Handles a message, at once or after the stall. */
	onMessage(callback: () => void): void {
		if (this.isStalled) this.messages.push(callback)
		else callback()
	}

	/** Handles a timer that is due, at once or after the stall. */
	onTimer(callback: () => void): void {
		if (this.isStalled) this.timers.push(callback)
		else callback()
	}

	/** Runs what waited during a stall: timers before messages, as in Node.js. */
	resume(): void {
		if (this.isStalled) return
		const due = [...this.timers, ...this.messages]
		this.timers = []
		this.messages = []
		for (const callback of due) callback()
	}

	/** Ends a stall and drops all that waits, as when the process ends. */
	clear(): void {
		this.stalledUntil = Number.NEGATIVE_INFINITY
		this.timers = []
		this.messages = []
	}
}
