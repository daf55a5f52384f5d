/**
 * How long whole tasks take on different workers, grouped by what is alike but for the worker: the tasks of one step. Nothing that a job
 * declares comes in, so an error of it, which all siblings share, can't show as the speed of a worker.
 */

/** Milliseconds in which the weight of evidence halves: a worker may be slow for seconds only. */
const HALF_LIFE_MS = 3000
/** Milliseconds after which evidence is dropped. */
const MAX_AGE_MS = 12_000
/** Tasks of which evidence is kept; beyond that steps that are new are left out, so that a pass stays short. */
const MAX_TASKS = 20_000

/** What one task told. @internal */
export interface TaskTime {
	readonly worker: string
	/** Natural logarithm of the milliseconds that all of it takes at the speed seen of late. */
	readonly time: number
	/** When that was told, on the leader's clock. */
	readonly at: number
}

/** One task of a group of siblings. @internal */
export interface SiblingTask {
	/** Of the step, with all that makes its tasks take longer on some workers for another reason than their speed. */
	readonly group: string
	/** Unlike those of its siblings. */
	readonly task: string
}

/**
 * The times of tasks, by groups of siblings.
 *
 * @internal
 */
export class SiblingTimes {
	private readonly groups = new Map<string, Map<string, TaskTime>>()
	private count = 0

	/** Takes what a task tells now, in place of what it told earlier. */
	record({ group, task }: SiblingTask, time: TaskTime): void {
		let tasks = this.groups.get(group)
		if (!tasks) {
			if (this.count >= MAX_TASKS) return
			tasks = new Map()
			this.groups.set(group, tasks)
		}
		if (!tasks.has(task)) this.count += 1
		tasks.set(task, time)
	}

	/** All groups of at least two tasks. */
	*groupsOfSiblings(): IterableIterator<readonly TaskTime[]> {
		for (const tasks of this.groups.values()) if (tasks.size > 1) yield [...tasks.values()]
	}

	/** Drops what is too old. */
	prune(now: number): void {
		for (const [group, tasks] of this.groups) {
			for (const [task, { at }] of tasks) {
				if (now - at > MAX_AGE_MS && tasks.delete(task)) this.count -= 1
			}
			if (tasks.size === 0) this.groups.delete(group)
		}
	}

	/** Drops what a worker has told. */
	forget(worker: string): void {
		for (const tasks of this.groups.values()) {
			for (const [task, known] of tasks) {
				if (known.worker === worker && tasks.delete(task)) this.count -= 1
			}
		}
	}
}

/** @returns how much what a task told still counts, from 0 to 1. @internal */
export function evidenceWeightOf({ at }: TaskTime, now: number): number {
	return 2 ** (-Math.max(0, now - at) / HALF_LIFE_MS)
}
