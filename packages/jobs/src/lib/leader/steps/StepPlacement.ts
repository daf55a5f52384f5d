/**
 * Assigns the tasks of a step to workers that may run them and have capacity beside reservations of
 * others.
 */
import { Measure } from '@rillrudder/telemetry'
import type { AccountUsage } from '../../accounts/AccountUsage'
import type { GangPlanner } from '../../gangs/GangPlanner'
import { freeResourcesOf, countMembersFitting } from '../../gangs/chooseGangWorkersToAsk'
import type { Reservations } from '../../placement/Reservations'
import type { UrgentCapacity } from '../../placement/UrgentCapacity'
import { epochTimeOf, type LeaderContext } from '../LeaderContext'
import { LeaderEvent } from '../LeaderEvent'
import {
	chooseWorkerForStep,
	hasCapacity,
	type WorkerOption,
	type CapacityCheck,
} from './chooseWorkerForStep'
import { placeGang, type PlacedTask, type TaskChooser } from './placeGang'
import type { OpenWorkerList } from './OpenWorkerList'
import type { Quarantine } from './Quarantine'
import { tryClaim } from './resourceClaim'
import type { StepWork } from './StepWork'

/** What decides whether capacity is free for a task. @internal */
export interface PlacementDependencies {
	readonly urgentCapacity: UrgentCapacity
	readonly reservations: Reservations
	readonly quarantine: Quarantine
	readonly gangs: GangPlanner
	readonly openWorkers: OpenWorkerList
}

/**
 * Places the tasks of steps.
 *
 * @internal
 */
export class StepPlacement {
	/**
	 * Whether a worker is open, and its capacity is neither kept for urgent work nor reserved for a
	 * more urgent step.
	 */
	private readonly isUnreserved: CapacityCheck = (work, option) =>
		this.dependencies.openWorkers.accepts(work, option) &&
		this.dependencies.urgentCapacity.allows(work) &&
		this.dependencies.reservations.allows(work, option)

	/** Whether a task may start on a worker: besides, no task of another job is isolated there. */
	private readonly isFree: CapacityCheck = (work, option) =>
		this.dependencies.quarantine.admits(work.job.id, option.view.id, this.context.clock.now()) &&
		this.isUnreserved(work, option)

	/**
	 * @param context - state and services that the parts of the leader share.
	 * @param accounts - the quotas of accounts and their use.
	 * @param dependencies - what decides whether capacity is free for a task.
	 */
	constructor(
		private readonly context: LeaderContext,
		private readonly accounts: AccountUsage,
		private readonly dependencies: PlacementDependencies
	) {}

	/**
	 * @param work - the step.
	 * @param waiting - indexes of its tasks that may start.
	 * @param options - workers that may run it.
	 * @param now - the current time, on the leader's clock.
	 * @returns the placed tasks, with their capacity claimed; all or none for a gang.
	 */
	place(
		work: StepWork,
		waiting: readonly number[],
		options: readonly WorkerOption[],
		now: number
	): PlacedTask[] {
		return work.step.gang
			? this.placeAsGang(work, waiting, options, now)
			: this.placeSeparately(work, waiting, options, now)
	}

	/**
	 * @param work - the step.
	 * @param options - workers that may run it.
	 * @param now - the current time, on the leader's clock.
	 * @returns whether only the isolation of its tasks keeps them from starting.
	 */
	isIsolated(work: StepWork, options: readonly WorkerOption[], now: number): boolean {
		const { quarantine } = this.dependencies
		const [first] = quarantine.getStartableTasks(work)
		// Isolated tasks come last, so all of them are isolated if the first one is.
		if (first === undefined || work.step.gang || !quarantine.isIsolated(work, first)) return false
		if (quarantine.chooseWorker(work, first, options, this.isFree, now)) return false
		return options.some((option) => hasCapacity(work, option) && this.isUnreserved(work, option))
	}

	private chooserFor(work: StepWork, now: number): TaskChooser {
		return (index, options) =>
			this.dependencies.quarantine.isSuspected(work, index)
				? this.dependencies.quarantine.chooseWorker(work, index, options, this.isFree, now)
				: chooseWorkerForStep(work, options, this.isFree, epochTimeOf(this.context))
	}

	/**
	 * Places a gang, preferably on workers that are unlikely to leave, if these have enough
	 * capacity.
	 */
	private placeAsGang(
		work: StepWork,
		waiting: readonly number[],
		options: readonly WorkerOption[],
		now: number
	): PlacedTask[] {
		if (countMembersFitting(work, options, freeResourcesOf) < waiting.length) return []
		const { ledger } = this.context
		const place = (from: readonly WorkerOption[]): PlacedTask[] =>
			placeGang(work, waiting, from, ledger, this.chooserFor(work, now), now)
		const reliable = this.dependencies.gangs.withoutUnreliable(work, options, now)
		const onReliable = place(reliable)
		const placed =
			onReliable.length > 0 || reliable.length === options.length ? onReliable : place(options)
		this.dependencies.urgentCapacity.onPlaced(work, placed.length)
		if (placed.length > 0) this.dependencies.gangs.onStarted(work, now)
		for (const task of placed) this.onPlaced(work, task)
		return placed
	}

	private placeSeparately(
		work: StepWork,
		waiting: readonly number[],
		options: readonly WorkerOption[],
		now: number
	): PlacedTask[] {
		const placed: PlacedTask[] = []
		const choose = this.chooserFor(work, now)
		for (const index of waiting) {
			if (!this.accounts.canStart(work.account, work.step)) break
			const option = choose(index, options)
			if (!option && this.dependencies.quarantine.isIsolated(work, index))
				this.cordonFor(work, index, options, now)
			if (!option || !tryClaim(this.context.ledger, option.view.id, work)) break
			work.adjustTaskCount(option.view.id, 1)
			this.dependencies.urgentCapacity.onPlaced(work, 1)
			const task = { index, worker: option.view.id }
			placed.push(task)
			this.onPlaced(work, task)
		}
		return placed
	}

	/** Tells the health of a worker of a task that is placed there, which may be a probe. */
	private onPlaced(work: StepWork, { index, worker }: PlacedTask): void {
		const { health, log } = this.context
		const task = `${work.name}.${index}`
		health.onStart(worker, task)
		if (health.isProbe(worker, task)) log.info(LeaderEvent.WorkerProbed, { worker, task })
	}

	/** Keeps a worker free of new starts for an isolated task that no worker admits. */
	private cordonFor(
		work: StepWork,
		index: number,
		options: readonly WorkerOption[],
		now: number
	): void {
		const chosen = this.dependencies.quarantine.cordonFor(work, index, options, this.isFree, now)
		if (!chosen) return
		const { view } = chosen
		const { log, meter } = this.context
		log.info(LeaderEvent.WorkerCordoned, { worker: view.id, for: work.name, runs: view.runs.size })
		meter.count(Measure.Cordons)
	}
}
