/** How far a run has got, how fast it goes, and when it is expected to end. */

/** Milliseconds between two readings from which a speed is told; what workers report is half a second old. */
const LEAST_SPAN = 250
/** Percent of a whole task. */
const WHOLE = 100

/** One reading of a run's progress. */
interface Reading {
	/** From 0 to 100. */
	readonly percent: number
	/** When it was taken, on the leader's clock. */
	readonly at: number
}

/**
 * The progress of one run.
 *
 * @internal
 */
export class RunProgress {
	private first: Reading | undefined
	private latest: Reading | undefined
	/** When the percentage last rose, on the leader's clock. */
	private movedAt: number

	/**
	 * @param begunAt - when the run was ordered, on the leader's clock.
	 * @param expected - milliseconds that a whole task of its step is expected to take.
	 */
	constructor(
		private readonly begunAt: number,
		private readonly expected: number
	) {
		this.movedAt = begunAt
	}

	/** Takes what the worker has listed. */
	read(percent: number, at: number): void {
		const rose = this.latest === undefined || percent > this.latest.percent
		if (rose) this.movedAt = at
		this.first ??= { percent, at }
		this.latest = { percent, at }
	}

	/** When the percentage last rose, on the leader's clock. */
	get lastMoved(): number {
		return this.movedAt
	}

	/** Whether it was seen to get on at all. */
	get hasMoved(): boolean {
		return (
			this.first !== undefined &&
			this.latest !== undefined &&
			this.latest.percent > this.first.percent
		)
	}

	/** Milliseconds that a whole task takes at the speed seen; undefined while none can be told. */
	get observed(): number | undefined {
		const { first, latest } = this
		if (!first || !latest) return undefined
		const span = latest.at - first.at
		const done = latest.percent - first.percent
		if (span < LEAST_SPAN || done <= 0) return undefined
		return (span / done) * WHOLE
	}

	/**
	 * @param now - the moment, on the leader's clock.
	 * @returns when it is expected to end; never before now.
	 */
	expectedEnd(now: number): number {
		const whole = this.observed ?? this.expected
		const { percent, at } = this.latest ?? { percent: 0, at: this.begunAt }
		const left = (whole * (WHOLE - percent)) / WHOLE
		return Math.max(now, at + left)
	}
}
