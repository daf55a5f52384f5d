/** Learns the speeds of workers from how long the tasks of one step take on different workers. */
import { estimateSpeeds, type SpeedEstimate } from './estimateSpeeds'
import { SiblingTimes, type SiblingTask } from './SiblingTimes'
import { SpeedSpread } from './SpeedSpread'

/** Evidence, as an effective number of tasks, from which a worker's speed counts as known. */
const MIN_EVIDENCE = 1.5
/** Speed below which a worker counts as slow, as a share of the median. */
const SLOW_BELOW = 0.75
/** Speed from which a slow worker no longer counts as slow; the gap is a hysteresis. */
const RECOVERED_ABOVE = 0.8
/**
 * Standard errors by which a speed must be below the limit for the worker to count as slow: fewer
 * than 1 in 100 are misjudged.
 */
const MIN_Z_SCORE = 2.5

/** The changes of an update. @internal */
export interface SpeedChanges {
	/**
	 * Whether the spread of speeds has become wide or no longer is; undefined if unchanged.
	 */
	readonly isSpreadWide: boolean | undefined
	/** Workers that have become slow. */
	readonly slow: readonly string[]
	/** Workers that are no longer slow. */
	readonly recovered: readonly string[]
}

/**
 * The speeds of workers. Each incarnation of a worker is learned separately.
 *
 * @example
 * ```ts
 * speeds.record({ group: '5b8b.0.1', task: '5b8b.0.1.7' }, 'w3', 2400, now)
 * speeds.update(workers, now)
 * const expected = declared / speeds.speedOf('w3')
 * ```
 * @internal
 */
export class WorkerSpeeds {
	readonly spread = new SpeedSpread()
	private readonly times = new SiblingTimes()
	private estimates = new Map<string, SpeedEstimate>()
	private readonly slow = new Set<string>()

	/** The number of slow workers. */
	get slowCount(): number {
		return this.slow.size
	}

	/**
	 * Records how long a whole task takes.
	 *
	 * @param milliseconds - its duration on the worker's own clock, at its recent pace.
	 * @param now - the moment, on the leader's clock.
	 */
	record(task: SiblingTask, worker: string, milliseconds: number, now: number): void {
		if (milliseconds > 0) this.times.record(task, { worker, time: Math.log(milliseconds), at: now })
	}

	/** Drops what is known of a worker whose incarnation has ended. */
	forget(worker: string): void {
		this.times.forget(worker)
		this.estimates.delete(worker)
		this.slow.delete(worker)
	}

	/** @returns the estimate for a worker; undefined while there is too little evidence. */
	find(worker: string): SpeedEstimate | undefined {
		const estimate = this.estimates.get(worker)
		return estimate && isKnown(estimate) ? estimate : undefined
	}

	/**
	 * @returns a worker's speed as a share of the median; 1 if it is unknown or the spread isn't wide.
	 */
	speedOf(worker: string): number {
		const estimate = this.spread.isWide ? this.find(worker) : undefined
		return estimate ? Math.exp(estimate.log) : 1
	}

	/** @returns whether a worker counts as slow. */
	isSlow(worker: string): boolean {
		return this.slow.has(worker)
	}

	/**
	 * Estimates all speeds again.
	 *
	 * @param workers - the number of all workers.
	 * @param now - the moment, on the leader's clock.
	 */
	update(workers: number, now: number): SpeedChanges {
		this.times.prune(now)
		const before = new Map([...this.estimates].map(([worker, { log }]) => [worker, log]))
		this.estimates = estimateSpeeds(this.times.groupsOfSiblings(), before, now)
		const known = [...this.estimates.values()].filter(isKnown)
		const { isWide: wasWide } = this.spread
		this.spread.update(known, workers)
		const spreadChange = this.spread.isWide === wasWide ? undefined : this.spread.isWide
		return { isSpreadWide: spreadChange, ...this.updateSlow() }
	}

	private updateSlow(): { slow: string[]; recovered: string[] } {
		const recovered = [...this.slow].filter((worker) => !this.isStillSlow(worker))
		for (const worker of recovered) this.slow.delete(worker)
		if (!this.spread.isWide) return { slow: [], recovered }
		const slow = [...this.estimates].filter(
			([worker, estimate]) => !this.slow.has(worker) && isCertainlySlow(estimate)
		)
		for (const [worker] of slow) this.slow.add(worker)
		return { slow: slow.map(([worker]) => worker), recovered }
	}

	private isStillSlow(worker: string): boolean {
		const estimate = this.find(worker)
		return this.spread.isWide && estimate !== undefined && estimate.log < Math.log(RECOVERED_ABOVE)
	}
}

function isKnown({ evidence }: SpeedEstimate): boolean {
	return evidence >= MIN_EVIDENCE
}

function isCertainlySlow(estimate: SpeedEstimate): boolean {
	return isKnown(estimate) && estimate.log + MIN_Z_SCORE * estimate.error < Math.log(SLOW_BELOW)
}
