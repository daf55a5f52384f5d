/**
 * Learns run times and resource usage from the reports of workers, since declared ones are often
 * inaccurate.
 */
import type { Resources } from '../capacity/Resources'
import type { Task } from './Task'

/** Weight of a new observation in the moving averages. */
const NEW_WEIGHT = 0.3
const MAX_INTENTS = 50_000
/** Factor by which a reservation exceeds the observed usage. */
const HEADROOM = 1.15
/** Minimum share of the declared processors that is reserved. */
const MIN_SHARE_OF_DECLARED = 0.5

interface Estimate {
	runTime?: number
	cpu?: number
	memory?: number
}

/**
 * The learned run time and usage of each intent's tasks.
 *
 * @public
 */
export class Estimator {
	private readonly intents = new Map<string, Estimate>()

	/** Records the run time of a task that has ended, in milliseconds. */
	recordRunTime(task: Task, runTime: number): void {
		const learned = this.entryOf(task)
		learned.runTime = average(learned.runTime, runTime)
	}

	/** Records the observed usage of a task. */
	recordUsage(task: Task, usage: Resources): void {
		const learned = this.entryOf(task)
		learned.cpu = Math.max(usage.cpu, average(learned.cpu, usage.cpu))
		learned.memory = Math.max(usage.memory, learned.memory ?? 0)
	}

	/**
	 * @returns the expected run time in milliseconds; the declared one until one is learned.
	 */
	expectedRunTime(task: Task): number {
		return this.intents.get(keyOf(task))?.runTime ?? task.runTime
	}

	/**
	 * @returns what to reserve for the next task of the intent. The reservation exceeds the declared
	 * need if more was used. It is below the need only for processors: a task that lacks memory fails,
	 * while one that lacks processors is only slow.
	 */
	reservationFor(task: Task): Resources {
		const learned = this.intents.get(keyOf(task))
		if (!learned?.cpu || !learned.memory) return task.need
		const cpu = Math.max(learned.cpu * HEADROOM, task.need.cpu * MIN_SHARE_OF_DECLARED)
		const memory = Math.max(learned.memory * HEADROOM, task.need.memory)
		return {
			cpu: Math.ceil(cpu),
			memory: Math.ceil(memory),
			accelerators: task.need.accelerators,
		}
	}

	private entryOf(task: Task): Estimate {
		const key = keyOf(task)
		let learned = this.intents.get(key)
		if (!learned) {
			if (this.intents.size >= MAX_INTENTS) this.evictOldest()
			learned = {}
			this.intents.set(key, learned)
		}
		return learned
	}

	private evictOldest(): void {
		const oldest = this.intents.keys().next()
		if (!oldest.done) this.intents.delete(oldest.value)
	}
}

function keyOf(task: Task): string {
	return `${task.team}/${task.intent}`
}

function average(known: number | undefined, seen: number): number {
	return known === undefined ? seen : known * (1 - NEW_WEIGHT) + seen * NEW_WEIGHT
}
