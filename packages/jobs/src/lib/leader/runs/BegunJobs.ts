/**
 * Records in the replicated state which jobs have begun, so that a new leader knows it of jobs whose
 * workers it cannot reach.
 */
import { TaskStatus, type JobRecord } from '../../state/JobRecord'
import { tasksOf } from '../../state/JobTable'
import type { LeaderContext } from '../LeaderContext'

/**
 * Milliseconds after which what has begun is recorded by itself. In a busy cell it is recorded
 * beside the starts of other runs, which costs no commit of its own.
 */
const MAX_DELAY_MS = 1000

/**
 * The jobs of which a worker is known to have started a task.
 *
 * @internal
 */
export class BegunJobs {
	/** Ids of jobs that are not known to have begun in the replicated state yet. */
	private readonly unrecorded = new Set<string>()
	/** When the first of them is recorded by itself, on the leader's clock. */
	private dueAt = Number.POSITIVE_INFINITY
	private isPending = false

	constructor(private readonly context: Pick<LeaderContext, 'proposals' | 'state' | 'clock'>) {}

	/** @returns whether a worker has confirmed or listed a run of a job, or its end. */
	has(job: JobRecord): boolean {
		return job.begun === true || this.unrecorded.has(job.id) || hasEndedRun(job)
	}

	/** Records that a worker has confirmed or listed a run of a job. */
	add(id: string): void {
		const job = this.context.state.jobs.find(id)
		if (!job || job.begun) return
		this.unrecorded.add(id)
		this.dueAt = Math.min(this.dueAt, this.context.clock.now() + MAX_DELAY_MS)
	}

	/** Records the jobs that have begun if that is due. */
	tick(now: number): void {
		if (now >= this.dueAt) this.record()
	}

	/** Proposes the jobs that have begun since, unless a proposal is pending. */
	record(): void {
		this.dueAt = Number.POSITIVE_INFINITY
		if (this.unrecorded.size === 0 || this.isPending) return
		this.isPending = true
		const jobs = [...this.unrecorded]
		this.context.proposals.propose({ kind: 'begun', jobs }, () => {
			this.isPending = false
			for (const id of jobs) this.unrecorded.delete(id)
			if (this.unrecorded.size > 0) this.dueAt = this.context.clock.now() + MAX_DELAY_MS
		})
	}
}

/** Whether a run of a job has ended in a way that shows that it had started; in records of before. */
function hasEndedRun(job: JobRecord): boolean {
	for (const { task } of tasksOf(job))
		if (task.status === TaskStatus.Done || task.failures > 0) return true
	return false
}
