/** Chooses workers for requests, by free slots and health, a few candidates at a time. */
import type { WorkerHealth } from '@rillrudder/scheduler'
import type { Random } from '@rillrudder/utils'
import type { WorkerTable, WorkerRecord } from '../state/WorkerTable'

const SAMPLE = 4
const REFRESH_EVERY = 200

/**
 * The workers that requests may go to.
 *
 * @internal
 */
export class SlotChoice {
	private open: WorkerRecord[] = []
	private refreshedAt = Number.NEGATIVE_INFINITY
	/** Slots taken by commands that have not been applied yet. */
	private readonly pending = new Map<string, number>()

	constructor(
		private readonly workers: WorkerTable,
		private readonly health: WorkerHealth,
		private readonly random: Random
	) {}

	/** WorkerPolls again at which workers are open. */
	refresh(now: number): void {
		this.refreshedAt = now
		this.open = []
		for (const worker of this.workers.all()) {
			if (this.mayTake(worker, now)) this.open.push(worker)
		}
	}

	/** @returns whether new work may go to a worker. */
	mayTake(worker: WorkerRecord, now: number): boolean {
		return worker.state === 'live' && this.health.isOpen(worker.id, now)
	}

	/** Slots that open workers have, free or not. */
	totalSlots(now: number): number {
		this.refreshWhenOld(now)
		return this.open.reduce((sum, worker) => sum + worker.slots, 0)
	}

	/** @returns the one with the most free of a few drawn at random, or of all when those are full. */
	choose(now: number, avoid = ''): WorkerRecord | undefined {
		this.refreshWhenOld(now)
		if (this.open.length === 0) return undefined
		let best: WorkerRecord | undefined
		for (let draw = 0; draw < SAMPLE; draw++) {
			best = this.better(best, this.random.pick(this.open), avoid)
		}
		if (best) return best
		for (const worker of this.open) best = this.better(best, worker, avoid)
		return best ?? this.open.find((worker) => this.free(worker) > 0)
	}

	/** Counts a slot as taken until the command that takes it is applied. */
	hold(worker: string, slots = 1): void {
		this.pending.set(worker, (this.pending.get(worker) ?? 0) + slots)
	}

	/** The command has been applied, or never will be. */
	unhold(worker: string, slots = 1): void {
		const left = (this.pending.get(worker) ?? 0) - slots
		if (left > 0) this.pending.set(worker, left)
		else this.pending.delete(worker)
	}

	/** Forgets what is held, when leadership changes. */
	clear(): void {
		this.pending.clear()
		this.refreshedAt = Number.NEGATIVE_INFINITY
	}

	/** Slots of a worker that nobody has. */
	free(worker: WorkerRecord): number {
		// The record in the table is replaced when the worker changes, so it is looked up anew.
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
		if (worker.id === avoid || this.free(worker) <= 0) return best
		return !best || this.free(worker) > this.free(best) ? worker : best
	}

	private refreshWhenOld(now: number): void {
		if (now - this.refreshedAt >= REFRESH_EVERY) this.refresh(now)
	}
}
