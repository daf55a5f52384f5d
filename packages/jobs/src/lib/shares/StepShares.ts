/** Tells waiting steps of how much use they still are, and whether their accounts have more than their shares. */
import {
	NOTHING,
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
import type { AccountShares, Want } from './AccountShares'
import { inShareOrder } from './inShareOrder'
import type { LeaderShares } from './LeaderShares'
import { roomOf, type ServiceRoom } from './ServiceRoom'

/** What a pass over the waiting steps knows of them. @internal */
export interface StepView {
	/** All steps, in their order so far. */
	readonly steps: readonly StepWork[]
	/** All workers that are known. */
	readonly workers: Iterable<WorkerView>
	/** Whether a step has tasks without a place that could begin. */
	readonly waits: (work: StepWork) => boolean
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
	private ordered = false

	constructor(
		private readonly context: LeaderContext,
		private readonly accounts: AccountUsage,
		private readonly shares: LeaderShares
	) {}

	/** A step waits from now on. */
	opened(work: StepWork): void {
		if (needsPlan(work)) this.shares.use.hasPlannedGangs = true
	}

	/** Notes anew what orders the steps besides their times. @returns whether that has changed for any. */
	note(view: StepView, now: number): boolean {
		const { isEnabled: byUse } = this.shares.use
		const rooms = this.shares.inForce
		// What was noted while either was in force is taken back once.
		if (!byUse && !rooms && !this.ordered) return false
		this.ordered = byUse || rooms
		if (rooms) this.shares.look(now, this.roomsOf(view), this.wantsOf(view))
		const epoch = epochOf(this.context)
		const kept = new KeptRooms()
		let changed = false
		for (const work of view.steps) {
			if (work.step.lasting) continue
			const over = rooms && this.isOver(work, kept)
			const usefulness = byUse ? usefulnessOf(work.times, epoch) : Usefulness.InTime
			if (work.updateUrgency(usefulness, over)) changed = true
			const room = rooms && view.reservations.getExpectedTimes(work)?.resources
			if (room) this.keep(work, room, kept)
		}
		return changed
	}

	/** @returns the steps of a pass as they are to be tried, with regard to what is begun meanwhile. */
	inOrder(steps: readonly StepWork[]): Iterable<StepWork> {
		if (!this.shares.inForce) return steps
		return inShareOrder(steps, (work) => this.isOver(work))
	}

	/** A step is judged beside the room that is kept for others of its account, not beside its own. */
	private isOver(work: StepWork, kept?: KeptRooms): boolean {
		const { account, service } = work
		if (!account) return false
		return this.rooms.isOver(account, service, kept?.of(account, service))
	}

	private keep({ account, service }: StepWork, room: Resources, kept: KeptRooms): void {
		if (!account) return
		kept.add(account, service, room)
		this.rooms.keep(account, service, room)
	}

	private get rooms(): AccountShares {
		return this.shares.rooms
	}

	/** The room of all workers, by service. */
	private roomsOf({ workers }: StepView): Map<string, ServiceRoom> {
		const accounts = new Map<string, LedgerWorker[]>()
		for (const { id, worker } of workers) {
			const account = this.context.ledger.find(id)
			if (!account) continue
			const others = accounts.get(worker.service)
			if (others) others.push(account)
			else accounts.set(worker.service, [account])
		}
		return new Map([...accounts].map(([service, each]) => [service, roomOf(each)]))
	}

	/** What waits for room alone: neither for a quota nor for steps before it. */
	private *wantsOf({ steps, waits }: StepView): IterableIterator<Want> {
		for (const work of steps) {
			const { account, service, step } = work
			if (!account || step.lasting || !waits(work)) continue
			if (!this.accounts.mayBegin(account, step)) continue
			const count = work.getWaitingTasks().length
			yield { account, service, need: times(work.need, count) }
		}
	}
}

/** Room that is kept, by account and service. */
class KeptRooms {
	private readonly rooms = new Map<string, Resources>()

	add(account: QuotaAccount, service: string, room: Resources): void {
		this.rooms.set(keyOf(account, service), plus(this.of(account, service), room))
	}

	of(account: QuotaAccount, service: string): Resources {
		return this.rooms.get(keyOf(account, service)) ?? NOTHING
	}
}

function keyOf({ terms }: QuotaAccount, service: string): string {
	return `${service} ${terms.name}`
}
