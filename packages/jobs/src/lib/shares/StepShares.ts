/** Updates the usefulness of waiting steps, and whether their accounts are over their shares. */
import {
	NO_RESOURCES,
	plus,
	times,
	type LedgerWorker,
	type QuotaAccount,
	type Resources,
} from '@rillrudder/scheduler'
import type { AccountUsage } from '../accounts/AccountUsage'
import { shouldPlanGang } from '../gangs/shouldPlanGang'
import { epochTimeOf, type LeaderContext } from '../leader/LeaderContext'
import type { StepWork } from '../leader/steps/StepWork'
import type { WorkerView } from '../leader/workers/WorkerView'
import type { Reservations } from '../placement/Reservations'
import { Usefulness, usefulnessOf } from '../placement/Usefulness'
import type { AccountShares, CapacityDemand } from './AccountShares'
import { orderByShare } from './orderByShare'
import type { LeaderShares } from './LeaderShares'
import { capacityOf, type ServiceCapacity } from './ServiceCapacity'

/** The input of a pass over the waiting steps. @internal */
export interface WaitingSteps {
	/** All steps, in their current order. */
	readonly steps: readonly StepWork[]
	/** All known workers. */
	readonly workers: Iterable<WorkerView>
	/** Returns whether a step has unplaced tasks that could start. */
	readonly isWaiting: (work: StepWork) => boolean
	/** The reserved capacity. */
	readonly reservations: Reservations
}

/**
 * Orders waiting steps by usefulness and by the shares of their accounts.
 *
 * @internal
 */
export class StepShares {
	/** Whether the last update ordered steps by anything but their times. */
	private hasOrder = false

	constructor(
		private readonly context: LeaderContext,
		private readonly accounts: AccountUsage,
		private readonly shares: LeaderShares
	) {}

	/** Handles a new waiting step. */
	onStepAdded(work: StepWork): void {
		if (shouldPlanGang(work)) this.shares.usefulnessOrder.hasPlannedGangs = true
	}

	/**
	 * Updates what orders the steps besides their times.
	 *
	 * @returns whether that has changed for any step.
	 */
	update(waiting: WaitingSteps, now: number): boolean {
		const { isEnabled: byUsefulness } = this.shares.usefulnessOrder
		const byShare = this.shares.isEnabled
		// One more update after both are disabled resets what the steps have recorded.
		if (!byUsefulness && !byShare && !this.hasOrder) return false
		this.hasOrder = byUsefulness || byShare
		if (byShare) this.shares.update(now, this.capacitiesOf(waiting), this.demandsOf(waiting))
		const epoch = epochTimeOf(this.context)
		const reserved = new ReservedCapacity()
		let changed = false
		for (const work of waiting.steps) {
			if (work.step.lasting) continue
			const isOver = byShare && this.isOverShare(work, reserved)
			const usefulness = byUsefulness ? usefulnessOf(work.times, epoch) : Usefulness.InTime
			if (work.updateUrgency(usefulness, isOver)) changed = true
			const expected = byShare && waiting.reservations.getExpectedTimes(work)?.resources
			if (expected) this.addReservation(work, expected, reserved)
		}
		return changed
	}

	/**
	 * @returns the steps of a pass in the order to try them, which depends on what is started during
	 * the pass.
	 */
	orderForPass(steps: readonly StepWork[]): Iterable<StepWork> {
		if (!this.shares.isEnabled) return steps
		return orderByShare(steps, (work) => this.isOverShare(work))
	}

	/**
	 * Counts the capacity that is reserved for other steps of the account, but not the step's own
	 * reservation.
	 */
	private isOverShare(work: StepWork, reserved?: ReservedCapacity): boolean {
		const { account, service } = work
		if (!account) return false
		return this.capacityShares.isOverShare(account, service, reserved?.of(account, service))
	}

	private addReservation(
		{ account, service }: StepWork,
		amount: Resources,
		reserved: ReservedCapacity
	): void {
		if (!account) return
		reserved.add(account, service, amount)
		this.capacityShares.addReservation(account, service, amount)
	}

	private get capacityShares(): AccountShares {
		return this.shares.capacityShares
	}

	/** The capacity of all workers, by service. */
	private capacitiesOf({ workers }: WaitingSteps): Map<string, ServiceCapacity> {
		const byService = new Map<string, LedgerWorker[]>()
		for (const { id, worker } of workers) {
			const entry = this.context.ledger.find(id)
			if (!entry) continue
			const others = byService.get(worker.service)
			if (others) others.push(entry)
			else byService.set(worker.service, [entry])
		}
		return new Map([...byService].map(([service, each]) => [service, capacityOf(each)]))
	}

	/** The demands of steps that wait only for capacity, not for a quota or for preceding steps. */
	private *demandsOf({ steps, isWaiting }: WaitingSteps): IterableIterator<CapacityDemand> {
		for (const work of steps) {
			const { account, service, step } = work
			if (!account || step.lasting || !isWaiting(work)) continue
			if (!this.accounts.canStart(account, step)) continue
			const count = work.getWaitingTasks().length
			yield { account, service, need: times(work.need, count) }
		}
	}
}

/** Reserved capacity, by account and service. */
class ReservedCapacity {
	private readonly amounts = new Map<string, Resources>()

	add(account: QuotaAccount, service: string, amount: Resources): void {
		this.amounts.set(keyOf(account, service), plus(this.of(account, service), amount))
	}

	of(account: QuotaAccount, service: string): Resources {
		return this.amounts.get(keyOf(account, service)) ?? NO_RESOURCES
	}
}

function keyOf({ terms }: QuotaAccount, service: string): string {
	return `${service} ${terms.name}`
}
