/** Workers on which, for a time, only tasks of one job start. */

/** What one worker is kept for. @internal */
export interface ExclusiveUse {
	/** Id of the job whose tasks alone start there. */
	readonly job: string
	/** When it ends, on the leader's clock. */
	readonly until: number
}

/**
 * Workers that are each kept for one job.
 *
 * @internal
 */
export class ExclusiveWorkers<Use extends ExclusiveUse> {
	private readonly uses = new Map<string, Use>()

	/** Keeps a worker for a job, in place of what it was kept for before. */
	set(worker: string, use: Use): void {
		this.uses.set(worker, use)
	}

	/** @returns what a worker is or was last kept for. */
	get(worker: string): Use | undefined {
		return this.uses.get(worker)
	}

	/** Opens a worker to all jobs. */
	release(worker: string): void {
		this.uses.delete(worker)
	}

	/** @returns whether tasks of a job may start on a worker. */
	admits(job: string, worker: string, now: number): boolean {
		const use = this.uses.get(worker)
		return !use || use.job === job || use.until <= now
	}

	/** @returns a worker that is kept for a job; undefined if there is none. */
	workerFor(job: string, now: number): string | undefined {
		for (const [worker, use] of this.uses) {
			if (use.job === job && use.until > now) return worker
		}
		return undefined
	}
}
