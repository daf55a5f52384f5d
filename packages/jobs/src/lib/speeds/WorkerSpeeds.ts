/** The speeds of workers, learned from how long tasks of one step take on different ones. */
import { estimateSpeeds, type SpeedEstimate } from './estimateSpeeds'
import { SiblingTimes, type SiblingTask } from './SiblingTimes'
import { SpeedSpread } from './SpeedSpread'

/** Evidence, in tasks, from which a worker's speed counts as known. */
const MIN_EVIDENCE = 1.5
/** Speed under which a worker is called slow, as a share of the median. */
const SLOW_BELOW = 0.75
/** Speed above which it is no longer. */
const RECOVERED_ABOVE = 0.8
/** Standard errors by which a speed must be off before a worker is called slow: wrong for fewer than 1 in 100. */
const ERROR_MARGIN = 2.5

/** What has changed with an assessment. @internal */
export interface SpeedChanges {
	/** Whether decisions heed the speeds from now on, or no longer; undefined when that stays. */
	readonly isSignificant: boolean | undefined
	/** Workers that are called slow from now on. */
	readonly slow: readonly string[]
	/** Workers that are no longer. */
	readonly recovered: readonly string[]
}

/**
 * The speeds of workers. Each life of a worker is one of its own.
 *
 * @example
 * ```ts
 * speeds.note({ group: '5b8b.0.1', task: '5b8b.0.1.7' }, 'w3', 2400, now)
 * speeds.assess(workers, now)
 * const expected = declared / speeds.speedOf('w3')
 * ```
 * @internal
 */
export class WorkerSpeeds {
	readonly spread = new SpeedSpread()
	private readonly times = new SiblingTimes()
	private estimates = new Map<string, SpeedEstimate>()
	private readonly slow = new Set<string>()

	/** How many workers are called slow. */
	get slowCount(): number {
		return this.slow.size
	}

	/**
	 * A task tells how long all of it takes.
	 *
	 * @param milliseconds - on the worker's own clock, at the speed seen of late.
	 * @param now - the moment, on the leader's clock.
	 */
	record(task: SiblingTask, worker: string, milliseconds: number, now: number): void {
		if (milliseconds > 0) this.times.record(task, { worker, time: Math.log(milliseconds), at: now })
	}

	/** A worker's life is over. */
	forget(worker: string): void {
		this.times.forget(worker)
		this.estimates.delete(worker)
		this.slow.delete(worker)
	}

	/** @returns what is known of a worker; undefined while that is too little. */
	find(worker: string): SpeedEstimate | undefined {
		const estimate = this.estimates.get(worker)
		return estimate && isKnown(estimate) ? estimate : undefined
	}

	/** @returns a worker's speed as a share of the median; 1 where it is not known, or speeds are not heeded. */
	speedOf(worker: string): number {
		const estimate = this.spread.isSignificant ? this.find(worker) : undefined
		return estimate ? Math.exp(estimate.log) : 1
	}

	/** @returns whether a worker is called slow. */
	isSlow(worker: string): boolean {
		return this.slow.has(worker)
	}

	/**
	 * Estimates all speeds anew.
	 *
	 * @param workers - how many workers there are.
	 * @param now - the moment, on the leader's clock.
	 */
	update(workers: number, now: number): SpeedChanges {
		this.times.prune(now)
		const before = new Map([...this.estimates].map(([worker, { log }]) => [worker, log]))
		this.estimates = estimateSpeeds(this.times.groupsOfSiblings(), before, now)
		const known = [...this.estimates.values()].filter(isKnown)
		const { isSignificant: heeded } = this.spread
		this.spread.update(known, workers)
		const changed = this.spread.isSignificant === heeded ? undefined : this.spread.isSignificant
		return { isSignificant: changed, ...this.updateSlow() }
	}

	private updateSlow(): { slow: string[]; recovered: string[] } {
		const recovered = [...this.slow].filter((worker) => !this.isStillSlow(worker))
		for (const worker of recovered) this.slow.delete(worker)
		if (!this.spread.isSignificant) return { slow: [], recovered }
		const slow = [...this.estimates].filter(
			([worker, estimate]) => !this.slow.has(worker) && isCertainlySlow(estimate)
		)
		for (const [worker] of slow) this.slow.add(worker)
		return { slow: slow.map(([worker]) => worker), recovered }
	}

	private isStillSlow(worker: string): boolean {
		const estimate = this.find(worker)
		return (
			this.spread.isSignificant &&
			estimate !== undefined &&
			estimate.log < Math.log(RECOVERED_ABOVE)
		)
	}
}

function isKnown({ evidence }: SpeedEstimate): boolean {
	return evidence >= MIN_EVIDENCE
}

function isCertainlySlow(estimate: SpeedEstimate): boolean {
	return isKnown(estimate) && estimate.log + ERROR_MARGIN * estimate.error < Math.log(SLOW_BELOW)
}
