/** Tracks how far a run has got, estimates its speed and forecasts its end. */

/**
 * Shortest span in milliseconds from which a speed is estimated; workers are polled at least once a
 * second.
 */
const MIN_SPAN_MS = 250
/** Milliseconds after which older readings are dropped, so that a change of speed shows. */
const WINDOW_MS = 700
/** Progress in percent of a completed task. */
const FULL_PERCENT = 100

/** One reading of a run's progress. */
interface Reading {
	/** From 0 to 100. */
	readonly percent: number
	/**
	 * When it was taken, on the worker's own clock, which neither network delay nor a slow leader
	 * affects.
	 */
	readonly at: number
}

/**
 * The progress of one run, as its worker reports it.
 *
 * @internal
 */
export class RunProgress {
	/** Start of the span from which the speed is estimated. */
	private first: Reading | undefined
	/** Start of the next such span. */
	private next: Reading | undefined
	private latest: Reading | undefined
	/** When the percentage last increased, on the worker's own clock. */
	private lastProgressAt = 0
	/** When the latest reading arrived, on the leader's clock. */
	private readAt: number

	/**
	 * @param startedAt - when the run was ordered, on the leader's clock.
	 * @param expectedDuration - milliseconds that a whole task of its step is expected to take.
	 */
	constructor(
		startedAt: number,
		private readonly expectedDuration: number
	) {
		this.readAt = startedAt
	}

	/**
	 * Adds a reading that the worker has reported.
	 *
	 * @param percent - from 0 to 100.
	 * @param at - when it was taken, on the worker's own clock.
	 * @param now - the current time, on the leader's clock.
	 */
	addReading(percent: number, at: number, now: number): void {
		this.readAt = now
		const reading = { percent, at }
		if (!this.latest || percent > this.latest.percent) this.lastProgressAt = at
		this.first ??= reading
		this.next ??= reading
		this.latest = reading
		if (at - this.next.at < WINDOW_MS) return
		this.first = this.next
		this.next = reading
	}

	/** Milliseconds for which readings have shown no progress. */
	get stalledForMs(): number {
		return this.latest ? this.latest.at - this.lastProgressAt : 0
	}

	/**
	 * Milliseconds that a whole task takes at the recent speed; undefined while it cannot be
	 * estimated.
	 */
	get observedDuration(): number | undefined {
		const { first, latest } = this
		if (!first || !latest) return undefined
		const span = latest.at - first.at
		const done = latest.percent - first.percent
		if (span < MIN_SPAN_MS || done <= 0) return undefined
		return (span / done) * FULL_PERCENT
	}

	/**
	 * @param at - when the run completed all its work, on the worker's own clock.
	 * @returns milliseconds that a whole task took at its last speed; undefined when it cannot be
	 * estimated.
	 */
	getObservedDurationAtEnd(at: number): number | undefined {
		const { first } = this
		if (!first || at - first.at < MIN_SPAN_MS || first.percent >= FULL_PERCENT) return undefined
		return ((at - first.at) / (FULL_PERCENT - first.percent)) * FULL_PERCENT
	}

	/**
	 * @param now - the current time, on the leader's clock.
	 * @returns when the run is expected to end; never before now.
	 */
	getExpectedEnd(now: number): number {
		return Math.max(now, this.forecastEnd)
	}

	/** @returns for how many milliseconds the run is overdue; negative before its expected end. */
	getOverdueTime(now: number): number {
		return now - this.forecastEnd
	}

	/** The end expected from the latest reading, even if it has passed. */
	private get forecastEnd(): number {
		const whole = this.observedDuration ?? this.expectedDuration
		const left = (whole * (FULL_PERCENT - (this.latest?.percent ?? 0))) / FULL_PERCENT
		return this.readAt + left
	}
}
