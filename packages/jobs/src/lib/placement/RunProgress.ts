/** How far a run has got, how fast it goes, and when it is expected to end. */

/** Milliseconds of the shortest span from which a speed is told; workers are read at least once a second. */
const MIN_SPAN_MS = 250
/** Milliseconds after which older readings are left out, so that a change of speed shows. */
const WINDOW_MS = 700
/** Percent of a whole task. */
const FULL_PERCENT = 100

/** One reading of a run's progress. */
interface Reading {
	/** From 0 to 100. */
	readonly percent: number
	/** When it was taken, on the worker's own clock: neither the way here nor a late leader changes it. */
	readonly at: number
}

/**
 * The progress of one run, from what its worker lists.
 *
 * @internal
 */
export class RunProgress {
	/** Where the span begins from which the speed is told. */
	private first: Reading | undefined
	/** Where the next such span begins. */
	private next: Reading | undefined
	private latest: Reading | undefined
	/** When the percentage last rose, on the worker's own clock. */
	private lastProgressAt = 0
	/** When the latest reading came, on the leader's clock. */
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
	 * Takes what the worker has listed.
	 *
	 * @param percent - from 0 to 100.
	 * @param at - when it was so, on the worker's own clock.
	 * @param now - the moment, on the leader's clock.
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

	/** Milliseconds that a whole task takes at the speed seen of late; undefined while none can be told. */
	get observedDuration(): number | undefined {
		const { first, latest } = this
		if (!first || !latest) return undefined
		const span = latest.at - first.at
		const done = latest.percent - first.percent
		if (span < MIN_SPAN_MS || done <= 0) return undefined
		return (span / done) * FULL_PERCENT
	}

	/**
	 * @param at - when it had done all its work, on the worker's own clock.
	 * @returns milliseconds that a whole task took at its last speed; undefined when none can be told.
	 */
	getObservedDurationAtEnd(at: number): number | undefined {
		const { first } = this
		if (!first || at - first.at < MIN_SPAN_MS || first.percent >= FULL_PERCENT) return undefined
		return ((at - first.at) / (FULL_PERCENT - first.percent)) * FULL_PERCENT
	}

	/**
	 * @param now - the moment, on the leader's clock.
	 * @returns when it is expected to end; never before now.
	 */
	getExpectedEnd(now: number): number {
		return Math.max(now, this.forecastEnd)
	}

	/** @returns for how many milliseconds it should have ended; below 0 while it should not. */
	getOverdueTime(now: number): number {
		return now - this.forecastEnd
	}

	/** When it should end by what was read last, also where that has passed. */
	private get forecastEnd(): number {
		const whole = this.observedDuration ?? this.expectedDuration
		const left = (whole * (FULL_PERCENT - (this.latest?.percent ?? 0))) / FULL_PERCENT
		return this.readAt + left
	}
}
