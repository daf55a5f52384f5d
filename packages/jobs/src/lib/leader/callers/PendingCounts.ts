/** How many accepted jobs of each queue have not begun. */
import type { Clock } from '@rillrudder/utils'
import { JobState } from '../../records/Job'
import type { JobRecord } from '../../state/JobRecord'

/** Milliseconds for which a count serves; callers may be told one that is 2 s old, and ask hundreds of times a second. */
const MAX_AGE_MS = 250

/**
 * The counts of jobs that have not begun.
 *
 * @internal
 */
export class PendingCounts {
	private counts = new Map<string, number>()
	private countedAt = Number.NEGATIVE_INFINITY

	/**
	 * @param jobs - all jobs that are kept.
	 * @param hasBegun - whether a task of a running job has begun at a worker.
	 */
	constructor(
		private readonly clock: Clock,
		private readonly jobs: () => Iterable<JobRecord>,
		private readonly hasBegun: (job: JobRecord) => boolean
	) {}

	/** @returns how many jobs of a queue have not begun. */
	countOf(queue: string): number {
		const now = this.clock.now()
		if (now - this.countedAt >= MAX_AGE_MS) this.recount(now)
		return this.counts.get(queue) ?? 0
	}

	private recount(now: number): void {
		this.countedAt = now
		this.counts = new Map()
		for (const job of this.jobs()) {
			if (this.isPending(job))
				this.counts.set(job.queue.name, 1 + (this.counts.get(job.queue.name) ?? 0))
		}
	}

	/** A job is shown as running once the beginning of a task is decided; its worker may not have been reached yet. */
	private isPending(job: JobRecord): boolean {
		if (job.state === JobState.Queued) return true
		return job.state === JobState.Running && !this.hasBegun(job)
	}
}
