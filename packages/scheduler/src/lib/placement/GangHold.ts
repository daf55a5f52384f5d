/**
 * Starts gangs whole. A gang that has waited too long may hold what comes free until it is whole. Only
 * one gang holds at a time, so that two never keep halves of what both need.
 */
import { IntentKind } from '@rillrudder/settings'
import type { Ledger } from '../capacity/Ledger'
import type { Resources } from '../capacity/Resources'
import { chooseWorker, NO_TASKS } from './chooseWorker'
import type { Pending } from './TeamAccount'

/** How long a gang waits for its chance before it holds, in milliseconds. @internal */
export const GANG_PATIENCE = 30_000
/** How long it holds before another gang may have its turn. @internal */
export const MOST_HELD = 600_000

interface Hold {
	readonly item: Pending
	readonly need: Resources
	readonly workers: string[]
	readonly since: number
}

/** What a gang that became whole starts with. @internal */
export interface Whole {
	readonly workers: string[]
	readonly need: Resources
}

/**
 * The gang that holds, if any.
 *
 * @internal
 */
export class GangHold {
	private hold: Hold | undefined

	constructor(private readonly ledger: Ledger) {}

	/** Whether no gang holds. */
	get free(): boolean {
		return this.hold === undefined
	}

	/** The gang that holds. */
	get held(): Pending | undefined {
		return this.hold?.item
	}

	/** Whether this gang is the one that holds. */
	holdsFor(item: Pending): boolean {
		return this.hold?.item === item
	}

	/** Reserves for all tasks, or for none. */
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

	/** Lets a gang that has waited long enough start to hold. */
	consider(item: Pending, need: Resources, now: number): void {
		if (this.hold || now - item.tasks[0].submitted < GANG_PATIENCE) return
		this.hold = { item, need, workers: [], since: now }
		this.grow(item.tasks.length)
	}

	/** Holds more of what came free. @returns the whole gang once it is whole. */
	extend(count: number, now: number): Whole | undefined {
		if (!this.hold) return undefined
		const { workers, need, since } = this.hold
		while (workers.length > count) this.ledger.release(workers.pop() as string, need)
		if (count === 0) {
			this.hold = undefined
			return undefined
		}
		this.grow(count)
		if (workers.length === count) {
			this.hold = undefined
			return { workers, need }
		}
		if (now - since > MOST_HELD) this.giveUp()
		return undefined
	}

	private grow(count: number): void {
		if (!this.hold) return
		const { workers, need } = this.hold
		while (workers.length < count) if (!this.reserveOne(need, workers)) return
	}

	private giveUp(): void {
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
