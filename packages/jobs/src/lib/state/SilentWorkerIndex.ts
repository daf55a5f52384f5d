/**
 * An index over the task records: which tasks had a run abandoned on an unreachable worker of which
 * is not known yet whether it crashed.
 */
import { formatTaskName } from '../records/Job'
import type { JobRecord } from './JobRecord'
import type { SilentWorker } from './TaskCrashes'

/** An unreachable worker of which is not decided yet whether it counts as crashed. @public */
export interface UndecidedWorker {
	/** Id of the worker's incarnation. */
	readonly worker: string
	/**
	 * When it became unreachable, milliseconds since the epoch by the clock of the leader that found
	 * it so; undefined if not recorded.
	 */
	readonly since: number | undefined
}

/**
 * Task names by the unreachable worker on which a run was abandoned.
 *
 * @internal
 */
export class SilentWorkerIndex {
	private readonly tasks = new Map<string, Set<string>>()
	/** The workers that do not count as crashed yet, so that finding them visits no task. */
	private readonly undecided = new Map<string, UndecidedWorker>()

	/** Whether the fate of a worker matters to any task. */
	has(worker: string): boolean {
		return this.tasks.has(worker)
	}

	/** The workers of which is not decided yet whether they count as crashed. */
	undecidedWorkers(): IterableIterator<UndecidedWorker> {
		return this.undecided.values()
	}

	/** Records that a worker counts as crashed. */
	decide(worker: string): void {
		this.undecided.delete(worker)
	}

	/** @returns the names of the tasks whose runs on a worker were abandoned. */
	tasksOf(worker: string): string[] {
		return [...(this.tasks.get(worker) ?? [])]
	}

	/** Adds a task whose run on a worker was abandoned. */
	add({ worker, since, presumedCrashed }: SilentWorker, task: string): void {
		const tasks = this.tasks.get(worker) ?? new Set()
		tasks.add(task)
		this.tasks.set(worker, tasks)
		if (!presumedCrashed) this.undecided.set(worker, { worker, since })
	}

	/**
	 * Removes the entries of a worker.
	 *
	 * @returns the names of its tasks.
	 */
	take(worker: string): string[] {
		const tasks = this.tasksOf(worker)
		this.tasks.delete(worker)
		this.undecided.delete(worker)
		return tasks
	}

	/** Removes the entry of a task. */
	remove(worker: string, task: string): void {
		const tasks = this.tasks.get(worker)
		tasks?.delete(task)
		if (tasks?.size === 0) this.take(worker)
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
		this.undecided.clear()
	}
}
