/** Counts the accepted jobs of each queue that have not started. */
import type { Clock } from '@rillrudder/utils'
import { placeOf, type Queue } from '../../records/Cell'
import { JobState } from '../../records/Job'
import type { JobRecord } from '../../state/JobRecord'

/**
 * Maximum age of the counts in milliseconds. Clients ask hundreds of times a second and may be
 * given a count that is up to 2 s old.
 */
const MAX_AGE_MS = 250

/**
 * Caches the number of pending jobs of each queue.
 *
 * @internal
 */
export class PendingCounts {
	/** By the place of the queue. */
	private counts = new Map<string, number>()
	private countedAt = Number.NEGATIVE_INFINITY

	/**
	 * @param jobs - returns all jobs that are kept.
	 * @param stateOf - the state of a job as callers are told.
	 */
	constructor(
		private readonly clock: Clock,
		private readonly jobs: () => Iterable<JobRecord>,
		private readonly stateOf: (job: JobRecord) => JobState
	) {}

	/** @returns the number of jobs of a queue that have not started. */
	countOf(queue: Queue): number {
		const now = this.clock.now()
		if (now - this.countedAt >= MAX_AGE_MS) this.recount(now)
		return this.counts.get(placeOf(queue)) ?? 0
	}

	private recount(now: number): void {
		this.countedAt = now
		this.counts = new Map()
		for (const job of this.jobs()) {
			if (this.stateOf(job) !== JobState.Queued) continue
			const place = placeOf(job.queue)
			this.counts.set(place, 1 + (this.counts.get(place) ?? 0))
		}
	}
}
