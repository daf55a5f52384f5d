/** Which tasks have lost a run on each worker of which is not known yet whether it crashed: an index over the task records. */
import { formatTaskName } from '../records/Job'
import type { JobRecord } from './JobRecord'

/**
 * Tasks by the silent workers that they have lost.
 *
 * @internal
 */
export class SilentWorkerIndex {
	private readonly tasks = new Map<string, Set<string>>()

	/** Whether any task waits to hear of a worker. */
	has(worker: string): boolean {
		return this.tasks.has(worker)
	}

	/** A run of a task was given up on a worker. */
	add(worker: string, task: string): void {
		const tasks = this.tasks.get(worker) ?? new Set()
		tasks.add(task)
		this.tasks.set(worker, tasks)
	}

	/** @returns the names of the tasks that have lost a run there; none are kept for that worker afterwards. */
	take(worker: string): string[] {
		const tasks = [...(this.tasks.get(worker) ?? [])]
		this.tasks.delete(worker)
		return tasks
	}

	/** Drops what is kept of a job's tasks. */
	removeJob(job: JobRecord): void {
		job.repeats.forEach((steps, repeat) =>
			steps.forEach(({ tasks }, step) =>
				tasks.forEach(({ silent = [] }, index) => {
					const text = formatTaskName({ job: job.id, repeat, step, index })
					for (const { worker } of silent) this.remove(worker, text)
				})
			)
		)
	}

	/** Forgets everything. */
	clear(): void {
		this.tasks.clear()
	}

	private remove(worker: string, task: string): void {
		const tasks = this.tasks.get(worker)
		tasks?.delete(task)
		if (tasks?.size === 0) this.tasks.delete(worker)
	}
}
