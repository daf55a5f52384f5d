/** Tells waiting steps of how much use they still are, and whether their accounts have more than their shares. */
import {
	NO_RESOURCES,
	plus,
	times,
	type LedgerWorker,
	type QuotaAccount,
	type Resources,
} from '@rillrudder/scheduler'
import type { AccountUsage } from '../accounts/AccountUsage'
import { needsPlan } from '../gangs/needsPlan'
import { epochOf, type LeaderContext } from '../leader/LeaderContext'
import type { StepWork } from '../leader/steps/StepWork'
import type { WorkerView } from '../leader/workers/WorkerView'
import type { Reservations } from '../placement/Reservations'
import { Usefulness, usefulnessOf } from '../placement/Usefulness'
import type { AccountShares, CapacityDemand } from './AccountShares'
import { orderByShare } from './orderByShare'
import type { LeaderShares } from './LeaderShares'
import { capacityOf, type ServiceCapacity } from './ServiceCapacity'

/** What a pass over the waiting steps knows of them. @internal */
export interface WaitingSteps {
	/** All steps, in their order so far. */
	readonly steps: readonly StepWork[]
	/** All workers that are known. */
	readonly workers: Iterable<WorkerView>
	/** Whether a step has tasks without a place that could begin. */
	readonly isWaiting: (work: StepWork) => boolean
	/** The room that is kept. */
	readonly reservations: Reservations
}

/**
 * The claims of waiting steps.
 *
 * @internal
 */
export class StepShares {
	/** Whether anything but its times orders a step, as of the last look. */
	private hasOrder = false

	constructor(
		private readonly context: LeaderContext,
		private readonly accounts: AccountUsage,
		private readonly shares: LeaderShares
	) {}

	/** A step waits from now on. */
	onStepAdded(work: StepWork): void {
		if (needsPlan(work)) this.shares.usefulnessOrder.plansGangs = true
	}

	/** Notes anew what orders the steps besides their times. @returns whether that has changed for any. */
	update(view: WaitingSteps, now: number): boolean {
		const { inForce: byUse } = this.shares.usefulnessOrder
		const rooms = this.shares.isEnabled
		// What was noted while either was in force is taken back once.
		if (!byUse && !rooms && !this.hasOrder) return false
		this.hasOrder = byUse || rooms
		if (rooms) this.shares.update(now, this.capacitiesOf(view), this.demandsOf(view))
		const epoch = epochOf(this.context)
		const kept = new ReservedCapacity()
		let changed = false
		for (const work of view.steps) {
			if (work.step.lasting) continue
			const over = rooms && this.isOverShare(work, kept)
			const usefulness = byUse ? usefulnessOf(work.times, epoch) : Usefulness.InTime
			if (work.note(usefulness, over)) changed = true
			const room = rooms && view.reservations.expectedAt(work)?.room
			if (room) this.addReservation(work, room, kept)
		}
		return changed
	}

	/** @returns the steps of a pass as they are to be tried, with regard to what is begun meanwhile. */
	orderForPass(steps: readonly StepWork[]): Iterable<StepWork> {
		if (!this.shares.isEnabled) return steps
		return orderByShare(steps, (work) => this.isOverShare(work))
	}

	/** A step is judged beside the room that is kept for others of its account, not beside its own. */
	private isOverShare(work: StepWork, kept?: ReservedCapacity): boolean {
		const { account, service } = work
		if (!account) return false
		return this.capacityShares.isOverShare(account, service, kept?.of(account, service))
	}

	private addReservation(
		{ account, service }: StepWork,
		room: Resources,
		kept: ReservedCapacity
	): void {
		if (!account) return
		kept.add(account, service, room)
		this.capacityShares.addReservation(account, service, room)
	}

	private get capacityShares(): AccountShares {
		return this.shares.capacityShares
	}

	/** The room of all workers, by service. */
	private capacitiesOf({ workers }: WaitingSteps): Map<string, ServiceCapacity> {
		const accounts = new Map<string, LedgerWorker[]>()
		for (const { id, worker } of workers) {
			const account = this.context.ledger.find(id)
			if (!account) continue
			const others = accounts.get(worker.service)
			if (others) others.push(account)
			else accounts.set(worker.service, [account])
		}
		return new Map([...accounts].map(([service, each]) => [service, capacityOf(each)]))
	}

	/** What waits for room alone: neither for a quota nor for steps before it. */
	private *demandsOf({ steps, isWaiting: waits }: WaitingSteps): IterableIterator<CapacityDemand> {
		for (const work of steps) {
			const { account, service, step } = work
			if (!account || step.lasting || !waits(work)) continue
			if (!this.accounts.mayBegin(account, step)) continue
			const count = work.waiting().length
			yield { account, service, need: times(work.need, count) }
		}
	}
}

/** Room that is kept, by account and service. */
class ReservedCapacity {
	private readonly amounts = new Map<string, Resources>()

	add(account: QuotaAccount, service: string, room: Resources): void {
		this.amounts.set(keyOf(account, service), plus(this.of(account, service), room))
	}

	of(account: QuotaAccount, service: string): Resources {
		return this.amounts.get(keyOf(account, service)) ?? NO_RESOURCES
	}
}

function keyOf({ terms }: QuotaAccount, service: string): string {
	return `${service} ${terms.name}`
}
