/**
 * Events on their way to one peer. What one turn of the event loop sends goes into one message, and so
 * does what gathers while an earlier message is under way.
 */
import type { Event, Parcel } from './generated/rillrudder/v1/link'
import { payloadOf } from './payloadOf'

/** Version of the protocol that is spoken; a peer with another one is refused. @public */
export const PROTOCOL_VERSION = 1

const MOST_WAITING = 20_000
const MOST_IN_A_PARCEL = 512
/**
 * Bytes of events from which on a parcel takes no more. A stream passes its window of 64 KiB in a turn of a busy process, and a peer takes a link
 * for dead on which no whole parcel has come for a second.
 */
const MOST_PARCEL_BYTES = 256 * 1024

/** Looks for silence after which spare streams, on which nothing else is sent, are greeted. */
const LOOKS_A_SPARE_GREETING = 2

/** The part of a stream that an outbox writes to. @internal */
export interface ParcelStream {
	write(parcel: Parcel, done: (fault?: Error | null) => void): boolean
}

/**
 * Events on their way to one peer.
 *
 * @internal
 */
export class Outbox {
	private waiting: Event[] = []
	private stream: ParcelStream | undefined
	/** Further streams to the same peer, the newest last; one takes over when the current one ends. */
	private spare: ParcelStream[] = []
	private writing = false
	private flushing = false
	/** Whether something was written since the last look. */
	private spoke = false
	/** Looks in a row since which nothing was written. */
	private quietLooks = 0
	private looks = 0

	/** @param self - the id that parcels carry. */
	constructor(private readonly self: string) {}

	/** Whether there is a stream to write to. */
	get connected(): boolean {
		return this.stream !== undefined
	}

	/** Writes to this stream from now on; what waited for an older one was never sent. */
	connect(stream: ParcelStream): void {
		if (this.stream) this.spare.push(this.stream)
		this.stream = stream
		this.writing = false
		this.flush()
	}

	/** The stream has ended. What waits is dropped: who needs it to arrive sends it again. */
	disconnect(stream: ParcelStream): void {
		this.spare = this.spare.filter((one) => one !== stream)
		if (this.stream !== stream) return
		this.stream = this.spare.pop()
		this.writing = false
		this.waiting = []
	}

	/** @returns false when the event was dropped, because there is no stream or too much waits. */
	send(event: Event): boolean {
		if (!this.stream || this.waiting.length >= MOST_WAITING) return false
		this.waiting.push(event)
		this.flushSoon()
		return true
	}

	/** Sends an empty parcel, which tells the peer who is calling. */
	greet(): void {
		this.write([])
	}

	/**
	 * Greets on every stream that is silent, so that the peer sees it is alive: on the current one
	 * after some looks without a parcel, on the others at every second look.
	 *
	 * @param patience - how many looks without a parcel go by before a greeting.
	 */
	greetAll(patience = 0): void {
		this.looks += 1
		if (this.looks % LOOKS_A_SPARE_GREETING === 1) this.greetSpare()
		this.quietLooks = this.spoke ? 0 : this.quietLooks + 1
		if (!this.writing && this.quietLooks > patience) {
			this.greet()
			this.quietLooks = 0
		}
		this.spoke = false
	}

	private greetSpare(): void {
		for (const stream of this.spare) stream.write(this.parcel([]), () => undefined)
	}

	/** At the end of this turn: a message costs far more than an event. */
	private flushSoon(): void {
		if (this.flushing) return
		this.flushing = true
		queueMicrotask(() => {
			this.flushing = false
			this.flush()
		})
	}

	private flush(): void {
		if (this.writing || this.waiting.length === 0) return
		this.write(this.waiting.splice(0, this.nextCount()))
	}

	/** How many of the events that wait go into the next parcel. */
	private nextCount(): number {
		const most = Math.min(this.waiting.length, MOST_IN_A_PARCEL)
		let count = 0
		let bytes = 0
		while (count < most && bytes < MOST_PARCEL_BYTES) {
			bytes += payloadOf(this.waiting[count])
			count += 1
		}
		return count
	}

	private write(events: Event[]): void {
		const stream = this.stream
		if (!stream) return
		this.writing = true
		this.spoke = true
		stream.write(this.parcel(events), () => {
			if (this.stream !== stream) return
			this.writing = false
			this.flush()
		})
	}

	private parcel(events: Event[]): Parcel {
		return { version: PROTOCOL_VERSION, sender: this.self, events }
	}
}
