/** Selects workers for requests by free slots and health, from a few random candidates. */
import type { WorkerHealth } from '@rillrudder/scheduler'
import type { Random } from '@rillrudder/utils'
import type { WorkerTable, WorkerRecord } from '../state/WorkerTable'

const SAMPLE_SIZE = 4
const REFRESH_INTERVAL_MS = 200

/**
 * Selects workers for requests and counts the slots of commands that are not applied yet.
 *
 * @internal
 */
export class SlotSelector {
	private open: WorkerRecord[] = []
	private refreshedAt = Number.NEGATIVE_INFINITY
	/** Slots taken by commands that have not been applied yet. */
	private readonly pending = new Map<string, number>()

	constructor(
		private readonly workers: WorkerTable,
		private readonly health: WorkerHealth,
		private readonly random: Random
	) {}

	/** Recomputes which workers are open. */
	refresh(now: number): void {
		this.refreshedAt = now
		this.open = []
		for (const worker of this.workers.all()) {
			if (this.canTakeWork(worker, now)) this.open.push(worker)
		}
	}

	/** @returns whether a worker can be given new work. */
	canTakeWork(worker: WorkerRecord, now: number): boolean {
		return worker.state === 'live' && this.health.isOpen(worker.id, now)
	}

	/** @returns the number of slots of all open workers, free or in use. */
	totalSlots(now: number): number {
		this.refreshIfStale(now)
		return this.open.reduce((sum, worker) => sum + worker.slots, 0)
	}

	/**
	 * @param now - monotonic milliseconds.
	 * @param avoid - a worker that is selected only if no other one has a free slot.
	 * @returns the worker with the most free slots in a small random sample, or among all open workers
	 * if the sample has none; undefined if no slot is free.
	 */
	choose(now: number, avoid = ''): WorkerRecord | undefined {
		this.refreshIfStale(now)
		if (this.open.length === 0) return undefined
		let best: WorkerRecord | undefined
		for (let draw = 0; draw < SAMPLE_SIZE; draw++) {
			best = this.better(best, this.random.pick(this.open), avoid)
		}
		if (best) return best
		for (const worker of this.open) best = this.better(best, worker, avoid)
		return best ?? this.open.find((worker) => this.freeSlotsOf(worker) > 0)
	}

	/** Counts a slot as taken until the command that takes it is applied. */
	reserve(worker: string, slots = 1): void {
		this.pending.set(worker, (this.pending.get(worker) ?? 0) + slots)
	}

	/** Releases slots whose command has been applied or will never be applied. */
	release(worker: string, slots = 1): void {
		const left = (this.pending.get(worker) ?? 0) - slots
		if (left > 0) this.pending.set(worker, left)
		else this.pending.delete(worker)
	}

	/** Discards all reservations when leadership changes. */
	clear(): void {
		this.pending.clear()
		this.refreshedAt = Number.NEGATIVE_INFINITY
	}

	/** @returns the number of free slots of a worker; a worker on probe counts as having one slot. */
	freeSlotsOf(worker: WorkerRecord): number {
		// The table replaces the record when the worker changes, so the current one is looked up.
		const record = this.workers.find(worker.id)
		if (!record || record.state !== 'live') return 0
		const limit = this.health.isOnProbe(worker.id) ? 1 : record.slots
		return limit - record.lent - record.taken - (this.pending.get(worker.id) ?? 0)
	}

	private better(
		best: WorkerRecord | undefined,
		worker: WorkerRecord,
		avoid: string
	): WorkerRecord | undefined {
		if (worker.id === avoid || this.freeSlotsOf(worker) <= 0) return best
		return !best || this.freeSlotsOf(worker) > this.freeSlotsOf(best) ? worker : best
	}

	private refreshIfStale(now: number): void {
		if (now - this.refreshedAt >= REFRESH_INTERVAL_MS) this.refresh(now)
	}
}
