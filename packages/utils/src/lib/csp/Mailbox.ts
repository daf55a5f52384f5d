/**
 * A bounded queue of events that a goroutine takes in batches.
 *
 * A js-csp hand-off costs microseconds, and a channel throws at its 1,025th pending put. So events
 * gather in an array and the channel carries only the wake-up, one for as many events as came.
 */
import * as csp from 'js-csp'
import { VError } from 'verror'

const WAKE = true
const DEFAULT_CAPACITY = 65_536

/**
 * A bounded queue that one goroutine empties.
 *
 * @public
 */
export class Mailbox<Event> {
	private pending: Event[] = []
	private closed = false
	private readonly wake = csp.chan(csp.buffers.dropping(1))

	/** @param capacity - how many events may wait; a post beyond that is refused. */
	constructor(private readonly capacity = DEFAULT_CAPACITY) {}

	/** How many events wait. */
	get size(): number {
		return this.pending.length
	}

	/**
	 * Adds an event.
	 *
	 * @param event - the event.
	 * @returns false when the mailbox is full or closed, and the event was not taken.
	 */
	post(event: Event): boolean {
		if (this.closed || this.pending.length >= this.capacity) return false
		this.pending.push(event)
		if (this.pending.length === 1) csp.putAsync(this.wake, WAKE)
		return true
	}

	/** Ends the goroutine that takes from this mailbox once it has taken what waits. */
	close(): void {
		this.closed = true
		this.wake.close()
	}

	/**
	 * Starts the goroutine that takes batches until the mailbox is closed.
	 *
	 * @param name - names the goroutine in failures.
	 * @param handle - handles one batch, in order of arrival.
	 * @param fail - told of a throw in `handle`; js-csp itself would end the process or throw into the
	 * unrelated caller of a put.
	 */
	serve(name: string, handle: (batch: Event[]) => void, fail: (fault: Error) => void): void {
		const wake = this.wake
		const drain = (): void => this.drain(name, handle, fail)
		csp.go(function* () {
			while ((yield csp.take(wake)) !== csp.CLOSED) drain()
			drain()
		})
	}

	private drain(name: string, handle: (batch: Event[]) => void, fail: (fault: Error) => void) {
		const batch = this.pending
		if (batch.length === 0) return
		this.pending = []
		try {
			handle(batch)
		} catch (cause) {
			fail(new VError({ name: 'GoroutineFault', cause: cause as Error }, 'goroutine %s', name))
		}
	}
}
