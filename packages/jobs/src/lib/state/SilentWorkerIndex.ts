/**
 * An index over the task records: which tasks had a run abandoned on an unreachable worker of which
 * is not known yet whether it crashed.
 */
import { formatTaskName } from '../records/Job'
import type { JobRecord } from './JobRecord'

/**
 * Task names by the unreachable worker on which a run was abandoned.
 *
 * @internal
 */
export class SilentWorkerIndex {
	private readonly tasks = new Map<string, Set<string>>()

	/** Whether the fate of a worker matters to any task. */
	has(worker: string): boolean {
		return this.tasks.has(worker)
	}

	/** The unreachable workers whose fate matters to some task. */
	workers(): IterableIterator<string> {
		return this.tasks.keys()
	}

	/** @returns the names of the tasks whose runs on a worker were abandoned. */
	tasksOf(worker: string): string[] {
		return [...(this.tasks.get(worker) ?? [])]
	}

	/** Adds a task whose run on a worker was abandoned. */
	add(worker: string, task: string): void {
		const tasks = this.tasks.get(worker) ?? new Set()
		tasks.add(task)
		this.tasks.set(worker, tasks)
	}

	/**
	 * Removes the entries of a worker.
	 *
	 * @returns the names of its tasks.
	 */
	take(worker: string): string[] {
		const tasks = this.tasksOf(worker)
		this.tasks.delete(worker)
		return tasks
	}

	/** Removes the entry of a task. */
	remove(worker: string, task: string): void {
		const tasks = this.tasks.get(worker)
		tasks?.delete(task)
		if (tasks?.size === 0) this.tasks.delete(worker)
	}

	/** Removes the entries of a job's tasks. */
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

	/** Removes all entries. */
	clear(): void {
		this.tasks.clear()
	}
}
