/**
 * Decides which work is urgent at each service. This follows from the priorities that are
 * configured or were recently seen there, not from a fixed number: the highest of them counts as
 * urgent, and lower ones leave it a share of the service.
 */
import type { Queue } from '../records/Cell'
import type { Step } from '../records/Job'

/**
 * Milliseconds for which a priority counts after its last job was submitted or it was configured:
 * longer than the pause between bursts, yet a queue that nobody uses doesn't hold back others
 * forever.
 */
const RETENTION_MS = 60_000

/** How tasks of a step relate to other tasks at their service. @internal */
export interface StepPrecedence {
	/** Whether it has the highest priority there, so that other work leaves capacity for it. */
	readonly urgent: boolean
	/**
	 * Whether it leaves capacity for urgent work. Lasting work never does: it holds its place
	 * anyway.
	 */
	readonly yields: boolean
}

/**
 * Tracks the priorities seen at each service.
 *
 * @internal
 */
export class Precedence {
	/** When each priority was last seen, by service, on the leader's clock. */
	private readonly lastSeen = new Map<string, Map<number, number>>()

	/** Records the priorities of newly configured queues. */
	onQueuesConfigured(queues: readonly Queue[], now: number): void {
		for (const queue of queues) this.recordQueue(queue, now)
	}

	/** Records that a job was submitted to a queue. */
	recordQueue({ service, priority }: Queue, now: number): void {
		const priorities = this.lastSeen.get(service) ?? new Map<number, number>()
		this.lastSeen.set(service, priorities)
		priorities.set(priority, now)
	}

	/**
	 * @param queue - the queue of the job.
	 * @param step - a step of the job.
	 * @param now - the current time, on the leader's clock.
	 * @param beyondRate - whether the account exceeded its rate with this job; such a job is never
	 * urgent.
	 * @returns how tasks of the step relate to other tasks at their service.
	 */
	precedenceOf(queue: Queue, step: Step, now: number, beyondRate = false): StepPrecedence {
		const isBelowHighest = beyondRate || queue.priority > this.getHighestPriority(queue, now)
		const urgent = !isBelowHighest && !step.bestEffort
		const yields = isBelowHighest && !step.lasting && !step.bestEffort
		return { urgent, yields }
	}

	private getHighestPriority({ service, priority }: Queue, now: number): number {
		let highest = priority
		for (const [other, at] of this.lastSeen.get(service) ?? []) {
			if (now - at <= RETENTION_MS) highest = Math.min(highest, other)
		}
		return highest
	}
}
