/** A clock that advances only on request, for tests and simulations. */
import Heap from 'heap-js'
import { Clock, Timer } from './Clock'

/** A scheduled call. @internal */
class ManualTimer extends Timer {
	cancelled = false

	constructor(
		readonly due: number,
		/** Timers that are due at the same time fire in the order in which they were created. */
		readonly order: number,
		readonly call: () => void
	) {
		super()
	}

	override cancel(): void {
		this.cancelled = true
	}
}

/**
 * A clock that is advanced explicitly.
 *
 * @example
 * ```ts
 * const clock = new ManualClock()
 * clock.after(10, () => console.log('ten'))
 * clock.advance(10)
 * ```
 * @public
 */
export class ManualClock extends Clock {
	private elapsed = 0
	private skipped = 0
	private timerCount = 0
	private readonly pending = new Heap<ManualTimer>((a, b) => a.due - b.due || a.order - b.order)

	/** @param start - the wall-clock time at creation. */
	constructor(private readonly start = new Date('2026-01-01T00:00:00Z')) {
		super()
	}

	override now(): number {
		return this.elapsed
	}

	override date(): Date {
		return new Date(this.start.getTime() + this.elapsed + this.skipped)
	}

	override after(delay: number, call: () => void): Timer {
		const timer = new ManualTimer(this.elapsed + Math.max(0, delay), ++this.timerCount, call)
		this.pending.push(timer)
		return timer
	}

	/**
	 * Advances only the wall clock, as when the machine was suspended or its time was set.
	 *
	 * @param span - milliseconds; negative to set the wall clock back.
	 */
	skip(span: number): void {
		this.skipped += span
	}

	/**
	 * Advances the time and fires every timer that falls due, in order.
	 *
	 * @param span - milliseconds.
	 */
	advance(span: number): void {
		const end = this.elapsed + span
		for (let next = this.takeDue(end); next; next = this.takeDue(end)) {
			this.elapsed = Math.max(this.elapsed, next.due)
			next.call()
		}
		this.elapsed = end
	}

	private takeDue(end: number): ManualTimer | undefined {
		for (let next = this.pending.peek(); next && next.due <= end; next = this.pending.peek()) {
			this.pending.pop()
			if (!next.cancelled) return next
		}
		return undefined
	}
}
