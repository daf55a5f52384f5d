/** What the ledger takes for a task, and whether it goes before other work. */
import type { Resources } from '@rillrudder/scheduler'
import type { Queue } from '../records/Cell'
import type { Step } from '../records/Job'

/** Priority of the work that goes before all other. */
const HIGHEST_PRIORITY = 0

/** @returns what is reserved for a task of a step. @internal */
export function reservedFor(step: Step): Resources {
	return step.bestEffort ? { ...step.need, cpu: 0 } : step.need
}

/** @returns whether tasks of a queue's step are of the highest priority. @internal */
export function isUrgent(queue: Queue, step: Step): boolean {
	return queue.priority === HIGHEST_PRIORITY && !step.bestEffort
}

/** @returns whether they leave room for those. Lasting work holds its place anyway. @internal */
export function yieldsRoom(queue: Queue, step: Step): boolean {
	return queue.priority > HIGHEST_PRIORITY && !step.lasting && !step.bestEffort
}
