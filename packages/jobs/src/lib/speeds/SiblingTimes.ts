/**
 * How long sibling tasks, the tasks of one step, take on different workers. Nothing that a job
 * declares is used: an error in it, which all siblings share, can't be mistaken for the speed of a
 * worker.
 */

/**
 * Milliseconds in which the weight of an observation halves: a worker may be slow for a few seconds
 * only.
 */
const HALF_LIFE_MS = 3000
/** Milliseconds after which an observation is dropped. */
const MAX_AGE_MS = 12_000
/**
 * Maximum number of tasks with an observation. Beyond it new steps are ignored, so that an estimate
 * stays cheap.
 */
const MAX_TASKS = 20_000

/** The observed time of one task. @internal */
export interface TaskTime {
	readonly worker: string
	/** Natural logarithm of the milliseconds that the whole task takes at its recent pace. */
	readonly time: number
	/** When it was observed, on the leader's clock. */
	readonly at: number
}

/** One task of a group of siblings. @internal */
export interface SiblingTask {
	/**
	 * Identifies the step, and whatever makes its tasks take longer on some workers for a reason
	 * other than their speed.
	 */
	readonly group: string
	/** Unique among its siblings. */
	readonly task: string
}

/**
 * The observed times of tasks, by group of siblings.
 *
 * @internal
 */
export class SiblingTimes {
	private readonly groups = new Map<string, Map<string, TaskTime>>()
	private count = 0

	/** Records the observation of a task; it replaces the previous one. */
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

	/** Drops observations that are too old. */
	prune(now: number): void {
		for (const [group, tasks] of this.groups) {
			for (const [task, { at }] of tasks) {
				if (now - at > MAX_AGE_MS && tasks.delete(task)) this.count -= 1
			}
			if (tasks.size === 0) this.groups.delete(group)
		}
	}

	/** Drops the observations of a worker. */
	forget(worker: string): void {
		for (const tasks of this.groups.values()) {
			for (const [task, known] of tasks) {
				if (known.worker === worker && tasks.delete(task)) this.count -= 1
			}
		}
	}
}

/** @returns the weight of an observation by its age, from 0 to 1. @internal */
export function evidenceWeightOf({ at }: TaskTime, now: number): number {
	return 2 ** (-Math.max(0, now - at) / HALF_LIFE_MS)
}
