/**
 * Which work goes before which at each service. That follows from the priorities that are configured or were seen there
 * of late, not from a number: the highest of them counts as urgent, and what is below leaves it a share of each worker.
 */
import type { Queue } from '../records/Cell'
import type { Step } from '../records/Job'

/**
 * Milliseconds for which a priority counts after its last job was handed in, or after it was configured: longer than the
 * pause between bursts, and a queue that nobody uses holds nothing back for ever.
 */
const RETENTION_MS = 60_000

/** What a task of a step is to the others at its service. @internal */
export interface StepPrecedence {
	/** Whether it is of the highest priority there, and other work leaves it room. */
	readonly urgent: boolean
	/** Whether it leaves room for what is. Lasting work holds its place anyway. */
	readonly yields: boolean
}

/**
 * The priorities seen at each service.
 *
 * @internal
 */
export class Precedence {
	/** For each service when each priority was last seen, on the leader's clock. */
	private readonly lastSeen = new Map<string, Map<number, number>>()

	/** These queues are configured from now on. */
	onQueuesConfigured(queues: readonly Queue[], now: number): void {
		for (const queue of queues) this.recordQueue(queue, now)
	}

	/** A job was handed in to a queue. */
	recordQueue({ service, priority }: Queue, now: number): void {
		const priorities = this.lastSeen.get(service) ?? new Map<number, number>()
		this.lastSeen.set(service, priorities)
		priorities.set(priority, now)
	}

	/**
	 * @param queue - the queue of a job.
	 * @param step - a step of it.
	 * @param now - the moment, on the leader's clock.
	 * @param beyondRate - whether its account sent it beyond its rate: then it is urgent nowhere.
	 * @returns what tasks of the step are to the others at their service.
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
