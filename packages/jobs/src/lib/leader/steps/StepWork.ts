/** A step of one repeat of a job, while it still has tasks to start. */
import { fits, type QuotaAccount, type Resources } from '@rillrudder/scheduler'
import type { Queue } from '../../records/Cell'
import type { Step } from '../../records/Job'
import { TaskStatus, type JobRecord, type StepRecord } from '../../state/JobRecord'
import type { StepPrecedence } from '../../placement/Precedence'
import {
	compareUrgency,
	urgencyOf,
	type StepTimes,
	type Urgency,
} from '../../placement/StepUrgency'
import type { Usefulness } from '../../placement/Usefulness'
import { reservedResourcesOf } from './resourceClaim'
import { StepAdvice } from '../advice/StepAdvice'
import { WaitTimes } from './WaitTimes'

/** @returns the name of a step in logs and in requests for advice. @internal */
export function stepName(job: string, repeat: number, step: number): string {
	return `${job}.${repeat}.${step}`
}

/**
 * A step with tasks to start.
 *
 * @internal
 */
export class StepWork {
	readonly name: string
	readonly step: Step
	readonly record: StepRecord
	readonly need: Resources
	/** Its queue as configured now. */
	queue: Queue
	/** When it has to start. */
	times: StepTimes
	/** Whether it has the highest priority at its service. */
	urgent: boolean
	/** Whether it leaves capacity for urgent work. */
	yields: boolean
	readonly advice = new StepAdvice()
	/** How long its tasks have waited, by reason. */
	readonly waits = new WaitTimes()
	/** Indexes of tasks whose start is decided and not yet applied. */
	readonly proposedTasks = new Set<number>()
	/** How many of its tasks are on each worker. */
	readonly taskCountByWorker = new Map<string, number>()
	/** How many runs of its tasks have failed on each worker. */
	readonly failureCountByWorker = new Map<string, number>()
	/** When the steps before it were done, on the leader's clock; undefined while they are not. */
	readyAt: number | undefined
	/**
	 * Since when one of its isolated tasks waits for a worker that admits it, on the leader's clock;
	 * undefined while none does.
	 */
	isolatedSince: number | undefined
	/** Whether a log line has reported that it waits past its latest start. */
	hasLoggedOverdue = false
	/** Whether a log line has reported that it waits too long. */
	hasLoggedLongWait = false
	/** Whether a log line has reported that its queue's policy allows none of the workers. */
	hasLoggedBarred = false
	/** Whether all its tasks have a worker; reset when a task has to start again. */
	isFullyPlaced = false
	/**
	 * Whether it has to be tried on all workers, since something that affects any of them, such as
	 * new advice, changed after its last try.
	 */
	shouldTryAllWorkers = true
	private currentUrgency: Urgency

	/**
	 * @param job - its job.
	 * @param repeat - index of the repeat.
	 * @param stepIndex - index of the step in the job.
	 * @param times - when it has to start.
	 * @param precedence - how it relates to other work at its service.
	 * @param account - the account of its job; undefined for none.
	 */
	constructor(
		readonly job: JobRecord,
		readonly repeat: number,
		readonly stepIndex: number,
		times: StepTimes,
		precedence: StepPrecedence,
		readonly account: QuotaAccount | undefined
	) {
		this.name = stepName(job.id, repeat, stepIndex)
		this.step = job.request.steps[stepIndex]
		this.record = job.repeats[repeat][stepIndex]
		this.need = reservedResourcesOf(this.step)
		this.queue = job.queue
		this.times = times
		this.urgent = precedence.urgent
		this.yields = precedence.yields
		this.currentUrgency = this.computeUrgency()
		for (const task of this.record.tasks)
			if (task.worker !== '') this.adjustTaskCount(task.worker, 1)
	}

	/** The service whose workers run it. */
	get service(): string {
		return this.queue.service
	}

	/**
	 * Applies a new configuration: its queue may have moved to another service, or have other terms.
	 *
	 * @param times - when it has to start.
	 * @param precedence - how it relates to other work at its service.
	 */
	configure(times: StepTimes, precedence: StepPrecedence): void {
		this.queue = this.job.queue
		this.times = times
		this.urgent = precedence.urgent
		this.yields = precedence.yields
		const { usefulness, overShare } = this.currentUrgency
		this.currentUrgency = { ...this.computeUrgency(), usefulness, overShare }
		this.shouldTryAllWorkers = true
	}

	private computeUrgency(): Urgency {
		const { priority } = this.queue
		return urgencyOf(this.times, { priority, beyondRate: this.job.beyondRate })
	}

	/** Its sort key among other steps. */
	get urgency(): Urgency {
		return this.currentUrgency
	}

	/**
	 * Updates how useful it still is and whether its account uses more than its share.
	 *
	 * @returns whether either has changed.
	 */
	updateUrgency(usefulness: Usefulness, overShare: boolean): boolean {
		const { usefulness: used, overShare: over } = this.currentUrgency
		if (usefulness === used && overShare === over) return false
		this.currentUrgency = { ...this.currentUrgency, usefulness, overShare }
		return true
	}

	/** @returns whether it had to start by now for its job to be in time. */
	isOverdue(epoch: number): boolean {
		return !this.step.lasting && epoch > this.urgency.latestStart
	}

	/** @returns for how many milliseconds it has been ready to start. */
	getWaitTime(now: number): number {
		return this.readyAt === undefined ? 0 : Math.max(0, now - this.readyAt)
	}

	/** @returns indexes of the tasks that wait to start. */
	getWaitingTasks(): number[] {
		const found: number[] = []
		this.record.tasks.forEach((task, index) => {
			if (task.status === TaskStatus.Waiting && !this.proposedTasks.has(index)) found.push(index)
		})
		return found
	}

	/** Counts a task that was added to a worker, or with -1 removed from it. */
	adjustTaskCount(worker: string, by: 1 | -1): void {
		const count = (this.taskCountByWorker.get(worker) ?? 0) + by
		if (count <= 0) this.taskCountByWorker.delete(worker)
		else this.taskCountByWorker.set(worker, count)
	}

	/** Counts a failed run of one of its tasks on a worker. */
	recordFailure(worker: string): void {
		this.failureCountByWorker.set(worker, (this.failureCountByWorker.get(worker) ?? 0) + 1)
	}

	/**
	 * @param worker - id of the worker.
	 * @param free - the free capacity of the worker.
	 * @returns how many more of its tasks may run there.
	 */
	countFittingTasks(worker: string, free: Resources): number {
		const allowance = this.getAllowance(worker)
		if (allowance <= 0 || !fits(this.need, free)) return 0
		const copies = countCopies(this.need, free)
		return Math.min(allowance, Math.max(1, Math.floor(copies)))
	}

	/** @returns how many more of its tasks may run on a worker regardless of capacity. */
	getAllowance(worker: string): number {
		const limit = this.step.mostPerWorker
		return limit === 0
			? Number.POSITIVE_INFINITY
			: limit - (this.taskCountByWorker.get(worker) ?? 0)
	}
}

/**
 * @returns how many times the needed amount fits into the free one, as a fraction; finite if
 * nothing is needed.
 */
function countCopies(need: Resources, free: Resources): number {
	const ratio = (part: number, whole: number): number =>
		part > 0 ? whole / part : Number.MAX_SAFE_INTEGER
	return Math.min(
		ratio(need.cpu, free.cpu),
		ratio(need.memory, free.memory),
		ratio(need.accelerators, free.accelerators)
	)
}

/** Compares steps; those that are placed first go first. @internal */
export function byUrgency(left: StepWork, right: StepWork): number {
	return compareUrgency(left.urgency, right.urgency)
}
