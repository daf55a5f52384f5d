/**
 * A bounded queue of events that a goroutine consumes in batches.
 *
 * Passing a value through a js-csp channel costs microseconds, and a channel throws at its 1,025th
 * pending put. So events are collected in an array, and the channel carries only one wake-up signal
 * for each batch.
 */
import * as csp from 'js-csp'
import { VError } from 'verror'

const WAKE = true
const DEFAULT_CAPACITY = 65_536

/**
 * A bounded queue with a single consumer goroutine.
 *
 * @public
 */
export class Mailbox<Event> {
	private pending: Event[] = []
	private closed = false
	private readonly wake = csp.chan(csp.buffers.dropping(1))

	/** @param capacity - maximum number of pending events; `post` rejects further ones. */
	constructor(private readonly capacity = DEFAULT_CAPACITY) {}

	/** Number of pending events. */
	get size(): number {
		return this.pending.length
	}

	/**
	 * Adds an event.
	 *
	 * @param event - the event.
	 * @returns false if the event was rejected because the mailbox is full or closed.
	 */
	post(event: Event): boolean {
		if (this.closed || this.pending.length >= this.capacity) return false
		this.pending.push(event)
		if (this.pending.length === 1) csp.putAsync(this.wake, WAKE)
		return true
	}

	/** Closes the mailbox; its goroutine ends after it has handled the pending events. */
	close(): void {
		this.closed = true
		this.wake.close()
	}

	/**
	 * Starts the goroutine that handles batches of events until the mailbox is closed.
	 *
	 * @param name - name of the goroutine in error messages.
	 * @param handle - handles one batch, in order of arrival.
	 * @param onError - receives an error thrown by `handle`; js-csp itself would end the process or
	 * throw into the unrelated caller of a put.
	 */
	serve(name: string, handle: (batch: Event[]) => void, onError: (fault: Error) => void): void {
		const wake = this.wake
		const drain = (): void => this.drain(name, handle, onError)
		csp.go(function* () {
			while ((yield csp.take(wake)) !== csp.CLOSED) drain()
			drain()
		})
	}

	private drain(name: string, handle: (batch: Event[]) => void, onError: (fault: Error) => void) {
		const batch = this.pending
		if (batch.length === 0) return
		this.pending = []
		try {
			handle(batch)
		} catch (cause) {
			onError(new VError({ name: 'GoroutineFault', cause: cause as Error }, 'goroutine %s', name))
		}
	}
}
