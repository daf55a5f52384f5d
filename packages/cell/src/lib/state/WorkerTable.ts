/** The workers of a data centre, and the request slots lent to entry instances. */
import type { Resources } from '@rillrudder/scheduler'
import { fits, minus, NO_RESOURCES, plus } from '@rillrudder/scheduler'
import { invariant } from '@rillrudder/utils'
import type { CommandOf } from '../commands/DataCentreCommand'

/** The replicated record of a worker. @public */
export interface WorkerRecord {
	readonly id: string
	readonly address: string
	readonly rack: string
	/** Capacity for tasks, without the share of its request slots. */
	readonly capacity: Resources
	readonly slots: number
	readonly state: 'live' | 'leaving' | 'gone'
	readonly reason: string
	/** Capacity reserved for tasks. */
	reserved: Resources
	/** Slots lent to entry instances. */
	lent: number
	/** Slots taken by requests that are not repeatable. */
	taken: number
}

/** Slots lent to one entry instance. @public */
export interface Loan {
	readonly holder: string
	/** Log index of the grant. */
	readonly grant: number
	readonly slots: ReadonlyMap<string, number>
}

/**
 * Workers and loans.
 *
 * @public
 */
export class WorkerTable {
	private readonly workers = new Map<string, WorkerRecord>()
	private readonly loansByHolder = new Map<string, Loan>()

	/** @returns a worker, if it is known. */
	find(id: string): WorkerRecord | undefined {
		return this.workers.get(id)
	}

	/** @returns all workers. */
	all(): IterableIterator<WorkerRecord> {
		return this.workers.values()
	}

	/** @returns all loans. */
	loans(): IterableIterator<Loan> {
		return this.loansByHolder.values()
	}

	/** @returns the loan of an entry instance, if it has one. */
	loanOf(holder: string): Loan | undefined {
		return this.loansByHolder.get(holder)
	}

	/** @returns whether anything changed. */
	set(command: CommandOf<'worker'>): boolean {
		const known = this.workers.get(command.id)
		const { id, address, rack, capacity, slots, state, reason } = command
		const { reserved, lent, taken } = known ?? { reserved: NO_RESOURCES, lent: 0, taken: 0 }
		if (state === 'gone' && isIdle(reserved, lent, taken)) return this.workers.delete(id)
		this.workers.set(id, {
			id,
			address,
			rack,
			capacity,
			slots,
			state,
			reason,
			reserved,
			lent,
			taken,
		})
		return true
	}

	/** @returns whether the loan has an effect; a loan that exceeds a worker's slots has none. */
	lend(command: CommandOf<'lend'>, index: number): boolean {
		const before = this.loansByHolder.get(command.holder)?.slots ?? new Map<string, number>()
		const after = new Map(command.slots.map((one) => [one.worker, one.slots]))
		for (const [id, slots] of after) {
			const worker = this.workers.get(id)
			if (!worker) return false
			const more = slots - (before.get(id) ?? 0)
			if (more > 0 && worker.lent + worker.taken + more > worker.slots) return false
		}
		for (const [id, slots] of before) this.changeLent(id, -slots)
		for (const [id, slots] of after) this.changeLent(id, slots)
		if (after.size === 0) this.loansByHolder.delete(command.holder)
		else
			this.loansByHolder.set(command.holder, { holder: command.holder, grant: index, slots: after })
		return true
	}

	/** Takes a slot for a request. @returns whether one was free. */
	takeSlot(id: string): boolean {
		const worker = this.workers.get(id)
		if (!worker || worker.lent + worker.taken >= worker.slots) return false
		worker.taken += 1
		return true
	}

	/** Releases a slot. */
	freeSlot(id: string): void {
		const worker = this.workers.get(id)
		if (!worker) return
		worker.taken -= 1
		invariant(worker.taken >= 0, 'no more slots are released than were taken', { id })
	}

	/** Reserves capacity for a task. @returns whether the worker had enough free capacity. */
	reserve(id: string, need: Resources): boolean {
		const worker = this.workers.get(id)
		if (!worker || !fits(need, minus(worker.capacity, worker.reserved))) return false
		worker.reserved = plus(worker.reserved, need)
		return true
	}

	/** Releases reserved capacity. */
	release(id: string, amount: Resources): void {
		const worker = this.workers.get(id)
		if (!worker) return
		worker.reserved = minus(worker.reserved, amount)
		invariant(fits(NO_RESOURCES, worker.reserved), 'no more is released than was reserved', { id })
	}

	/** @returns the table for a snapshot. */
	save(): unknown {
		const loans = [...this.loansByHolder.values()].map((loan) => ({
			...loan,
			slots: [...loan.slots],
		}))
		return { workers: [...this.workers.values()], loans }
	}

	/** @param saved - what `save` returned. */
	load(saved: unknown): void {
		const table = saved as {
			workers: WorkerRecord[]
			loans: { holder: string; grant: number; slots: [string, number][] }[]
		}
		this.workers.clear()
		this.loansByHolder.clear()
		for (const worker of table.workers) this.workers.set(worker.id, worker)
		for (const loan of table.loans) {
			this.loansByHolder.set(loan.holder, { ...loan, slots: new Map(loan.slots) })
		}
	}

	private changeLent(id: string, by: number): void {
		const worker = this.workers.get(id)
		if (!worker) return
		worker.lent += by
		invariant(worker.lent >= 0, 'no more slots are returned than were lent', { id })
	}
}

function isIdle(reserved: Resources, lent: number, taken: number): boolean {
	return fits(reserved, NO_RESOURCES) && lent === 0 && taken === 0
}
