/** One step of a job at one of its repeats, while it still has tasks to begin. */
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

/** @returns the name that advice is asked under. @internal */
export function stepName(job: string, repeat: number, step: number): string {
	return `${job}.${repeat}.${step}`
}

/**
 * One step with tasks to begin.
 *
 * @internal
 */
export class StepWork {
	readonly name: string
	readonly step: Step
	readonly record: StepRecord
	readonly need: Resources
	/** The service at whose workers it runs, as it was configured when its job was accepted. */
	readonly service: string
	/** Whether it is of the highest priority at its service. */
	readonly urgent: boolean
	/** Whether it leaves room for what is. */
	readonly yields: boolean
	readonly advice = new StepAdvice()
	/** What its tasks have waited for. */
	readonly waits = new WaitTimes()
	/** Indexes of tasks whose beginning is decided and not yet applied. */
	readonly proposedTasks = new Set<number>()
	/** How many of its tasks are on each worker. */
	readonly taskCountByWorker = new Map<string, number>()
	/** Workers on which runs of its tasks failed, with their counts. */
	readonly failureCountByWorker = new Map<string, number>()
	/** When the steps before it were done, on the leader's clock; absent while they are not. */
	readyAt: number | undefined
	/** Whether a line has told that it waits although it had to begin. */
	hasLoggedOverdue = false
	/** Whether a line has told that it waits too long. */
	hasLoggedLongWait = false
	/** Whether a line has told that its queue's policy allows none of the workers. */
	hasLoggedBarred = false
	/** Whether all its tasks have been given a worker; looked at again once one has to begin again. */
	isFullyPlaced = false
	/** Whether it has not been tried since something changed that may let it begin anywhere, as an answer for advice. */
	shouldTryAllWorkers = true
	private currentUrgency: Urgency

	/**
	 * @param times - when it has to begin.
	 * @param precedence - what it is to the others at its service.
	 * @param account - the account of its job; undefined for none.
	 */
	constructor(
		readonly job: JobRecord,
		readonly queue: Queue,
		readonly repeat: number,
		readonly stepIndex: number,
		readonly times: StepTimes,
		precedence: StepPrecedence,
		readonly account: QuotaAccount | undefined
	) {
		this.name = stepName(job.id, repeat, stepIndex)
		this.step = job.request.steps[stepIndex]
		this.record = job.repeats[repeat][stepIndex]
		this.need = reservedResourcesOf(this.step)
		this.service = job.queue.service
		this.urgent = precedence.urgent
		this.yields = precedence.yields
		const { priority } = queue
		this.currentUrgency = urgencyOf(times, { priority, beyondRate: job.beyondRate })
		for (const task of this.record.tasks)
			if (task.worker !== '') this.adjustTaskCount(task.worker, 1)
	}

	/** What orders it among the others. */
	get urgency(): Urgency {
		return this.currentUrgency
	}

	/** Notes of how much use it still is, and whether its account has more than its share. @returns whether that has changed. */
	updateUrgency(usefulness: Usefulness, overShare: boolean): boolean {
		const { usefulness: used, overShare: over } = this.currentUrgency
		if (usefulness === used && overShare === over) return false
		this.currentUrgency = { ...this.currentUrgency, usefulness, overShare }
		return true
	}

	/** @returns whether it had to begin by now for its job to be in time. */
	isOverdue(epoch: number): boolean {
		return !this.step.lasting && epoch > this.urgency.latestStart
	}

	/** @returns for how many milliseconds it could have begun. */
	getWaitTime(now: number): number {
		return this.readyAt === undefined ? 0 : Math.max(0, now - this.readyAt)
	}

	/** Indexes of the tasks that wait to begin. */
	getWaitingTasks(): number[] {
		const found: number[] = []
		this.record.tasks.forEach((task, index) => {
			if (task.status === TaskStatus.Waiting && !this.proposedTasks.has(index)) found.push(index)
		})
		return found
	}

	/** A task has come to a worker, or with -1 has gone from it. */
	adjustTaskCount(worker: string, by: 1 | -1): void {
		const count = (this.taskCountByWorker.get(worker) ?? 0) + by
		if (count <= 0) this.taskCountByWorker.delete(worker)
		else this.taskCountByWorker.set(worker, count)
	}

	/** A run of one of its tasks has failed on a worker. */
	recordFailure(worker: string): void {
		this.failureCountByWorker.set(worker, (this.failureCountByWorker.get(worker) ?? 0) + 1)
	}

	/** @returns how many of its tasks a worker may take that has so much room for them. */
	countFittingTasks(worker: string, room: Resources): number {
		const allowance = this.getAllowance(worker)
		if (allowance <= 0 || !fits(this.need, room)) return 0
		const copies = countCopies(this.need, room)
		return Math.min(allowance, Math.max(1, Math.floor(copies)))
	}

	/** @returns how many more of its tasks a worker may hold. */
	getAllowance(worker: string): number {
		const most = this.step.mostPerWorker
		return most === 0 ? Number.POSITIVE_INFINITY : most - (this.taskCountByWorker.get(worker) ?? 0)
	}
}

/** @returns how many times an amount goes into another, as a fraction; bounded for an amount of nothing. */
function countCopies(need: Resources, room: Resources): number {
	const ratio = (part: number, whole: number): number =>
		part > 0 ? whole / part : Number.MAX_SAFE_INTEGER
	return Math.min(
		ratio(need.cpu, room.cpu),
		ratio(need.memory, room.memory),
		ratio(need.accelerators, room.accelerators)
	)
}

/** Steps in the order in which they are placed. @internal */
export function byUrgency(left: StepWork, right: StepWork): number {
	return compareUrgency(left.urgency, right.urgency)
}
