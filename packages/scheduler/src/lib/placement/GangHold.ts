/**
 * Starts gangs all at once. A gang that has waited too long may hold released capacity until it is
 * complete. Only one gang holds capacity at a time, so that two gangs can't deadlock, each with half
 * of what it needs.
 */
import { IntentKind } from '@rillrudder/settings'
import type { Ledger } from '../capacity/Ledger'
import type { Resources } from '../capacity/Resources'
import { chooseWorker, NO_TASKS } from './chooseWorker'
import type { PendingItem } from './TeamAccount'

/** How long a gang waits before it may hold capacity, in milliseconds. @internal */
export const MIN_WAIT_MS = 30_000
/**
 * How long a gang may hold capacity before another one gets its turn, in milliseconds.
 *
 * @internal
 */
export const MAX_HOLD_MS = 600_000

interface Hold {
	readonly item: PendingItem
	readonly need: Resources
	readonly workers: string[]
	readonly since: number
}

/** The reservations of a gang that is complete. @internal */
export interface CompleteGang {
	/** The worker of each task. */
	readonly workers: string[]
	/** What is reserved for each task. */
	readonly need: Resources
}

/**
 * The capacity that a gang holds, if any.
 *
 * @internal
 */
export class GangHold {
	private hold: Hold | undefined

	constructor(private readonly ledger: Ledger) {}

	/** Whether no gang holds capacity. */
	get isFree(): boolean {
		return this.hold === undefined
	}

	/** The gang that holds capacity. */
	get holder(): PendingItem | undefined {
		return this.hold?.item
	}

	/** Whether the given gang holds capacity. */
	isHeldBy(item: PendingItem): boolean {
		return this.hold?.item === item
	}

	/**
	 * Reserves capacity for all tasks or for none.
	 *
	 * @returns the workers, or undefined if not all tasks fit.
	 */
	reserveAll(need: Resources, count: number): string[] | undefined {
		const workers: string[] = []
		while (workers.length < count) {
			if (!this.reserveOne(need, workers)) {
				for (const worker of workers) this.ledger.release(worker, need)
				return undefined
			}
		}
		return workers
	}

	/**
	 * Lets a gang start to hold capacity if it has waited long enough and no other gang holds any.
	 */
	tryHold(item: PendingItem, need: Resources, now: number): void {
		if (this.hold || now - item.tasks[0].submitted < MIN_WAIT_MS) return
		this.hold = { item, need, workers: [], since: now }
		this.reserveMore(item.tasks.length)
	}

	/**
	 * Reserves more of the released capacity, and ends the hold when the gang is complete, is
	 * cancelled or has held for too long.
	 *
	 * @param count - the number of tasks that the gang still has.
	 * @returns the reservations once the gang is complete.
	 */
	extend(count: number, now: number): CompleteGang | undefined {
		if (!this.hold) return undefined
		const { workers, need, since } = this.hold
		while (workers.length > count) this.ledger.release(workers.pop() as string, need)
		if (count === 0) {
			this.hold = undefined
			return undefined
		}
		this.reserveMore(count)
		if (workers.length === count) {
			this.hold = undefined
			return { workers, need }
		}
		if (now - since > MAX_HOLD_MS) this.releaseHold()
		return undefined
	}

	private reserveMore(count: number): void {
		if (!this.hold) return
		const { workers, need } = this.hold
		while (workers.length < count) if (!this.reserveOne(need, workers)) return
	}

	private releaseHold(): void {
		if (!this.hold) return
		for (const worker of this.hold.workers) this.ledger.release(worker, this.hold.need)
		this.hold = undefined
	}

	private reserveOne(need: Resources, workers: string[]): boolean {
		const worker = chooseWorker(this.ledger, need, IntentKind.Gang, NO_TASKS)
		if (!worker || !this.ledger.reserve(worker.id, need)) return false
		workers.push(worker.id)
		return true
	}
}
