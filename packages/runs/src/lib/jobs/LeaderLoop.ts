/**
 * The event loop of a run's leader. While it is stalled, timers and messages wait, as in a process
 * without CPU time. Messages may also cost CPU time: what arrives meanwhile waits, and is handled
 * together in the next turn.
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

	/**
	 * @param clock - the run's clock.
	 * @param messageCost - CPU time of each message in milliseconds.
	 */
	constructor(
		private readonly clock: Clock,
		private readonly messageCost = 0
	) {}

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
		else this.handle(callback)
	}

	/** Handles a timer that is due, at once or after the stall. */
	onTimer(callback: () => void): void {
		if (this.isStalled) this.timers.push(callback)
		else callback()
	}

	/** Runs what waited during a stall: timers before messages, as in Node.js. */
	resume(): void {
		if (this.isStalled) return
		const { timers, messages } = this
		this.timers = []
		this.messages = []
		for (const callback of timers) callback()
		for (const callback of messages) this.handle(callback)
	}

	/** Ends a stall and drops all that waits, as when the process ends. */
	clear(): void {
		this.stalledUntil = Number.NEGATIVE_INFINITY
		this.timers = []
		this.messages = []
	}

	private handle(callback: () => void): void {
		callback()
		if (this.messageCost === 0) return
		this.stalledUntil = Math.max(this.stalledUntil, this.clock.now()) + this.messageCost
	}
}
