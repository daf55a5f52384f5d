/** The workers that have reported, as every replica knows them. */
import type { Worker } from '../records/Cell'
import { workerNameOf } from '../records/Incarnation'

/** Ids of gone workers that are remembered, so that a late heartbeat does not bring one back. */
const MAX_GONE_IDS = 4000

/** A worker and whether it is leaving. @public */
export interface KnownWorker {
	readonly worker: Worker
	draining: boolean
	/** Number of the heartbeat that described it; absent in records of before that was kept. */
	readonly sequence?: number
	/** When it was first known, milliseconds since the epoch; absent in records of before that was kept. */
	readonly joinedAt?: number
	/** Whether the latest leader has not heard of it, or no more. */
	silent?: boolean
}

/** The part of a snapshot that holds the workers. @public */
export interface KnownWorkersSnapshot {
	readonly workers: readonly KnownWorker[]
	readonly gone: readonly string[]
}

/**
 * The workers of a cell.
 *
 * @public
 */
export class KnownWorkers {
	private readonly workers = new Map<string, KnownWorker>()
	private readonly byAddress = new Map<string, string>()
	private readonly byName = new Map<string, string>()
	private readonly gone = new Set<string>()

	/** All workers that are not gone. */
	all(): IterableIterator<KnownWorker> {
		return this.workers.values()
	}

	/** How many workers there are. */
	get size(): number {
		return this.workers.size
	}

	/** @returns a worker by its id. */
	find(id: string): KnownWorker | undefined {
		return this.workers.get(id)
	}

	/** @returns whether a worker is known to have ended. */
	isGone(id: string): boolean {
		return this.gone.has(id)
	}

	/** @returns the worker that was last known at an address. */
	findByAddress(address: string): KnownWorker | undefined {
		return this.workers.get(this.byAddress.get(address) ?? '')
	}

	/** @returns the life of a worker that is known under its name. */
	findByName(name: string): KnownWorker | undefined {
		return this.workers.get(this.byName.get(name) ?? '')
	}

	/** Takes a worker in, or its new description. */
	join(worker: Worker, sequence = 0, at?: number): void {
		const known = this.workers.get(worker.id)
		const draining = known?.draining ?? false
		const joinedAt = known ? known.joinedAt : at
		this.workers.set(worker.id, { worker, draining, sequence, joinedAt })
		this.byAddress.set(worker.address, worker.id)
		this.byName.set(workerNameOf(worker.id), worker.id)
	}

	/** Notes that a worker is leaving. */
	setDraining(id: string): void {
		const known = this.workers.get(id)
		if (known) known.draining = true
	}

	/** Notes whether a worker is not heard of. */
	setSilent(id: string, silent: boolean): void {
		const known = this.workers.get(id)
		if (known) known.silent = silent
	}

	/** Forgets a worker for good. */
	remove(id: string): void {
		const known = this.workers.get(id)
		this.workers.delete(id)
		if (known && this.byAddress.get(known.worker.address) === id) {
			this.byAddress.delete(known.worker.address)
		}
		if (this.byName.get(workerNameOf(id)) === id) this.byName.delete(workerNameOf(id))
		this.gone.add(id)
		if (this.gone.size > MAX_GONE_IDS) this.gone.delete([...this.gone][0])
	}

	/** @returns all that must be kept. */
	snapshot(): KnownWorkersSnapshot {
		return { workers: [...this.workers.values()], gone: [...this.gone] }
	}

	/** Takes a snapshot's place. */
	restore(kept: KnownWorkersSnapshot): void {
		this.workers.clear()
		this.byAddress.clear()
		this.byName.clear()
		this.gone.clear()
		for (const { worker, draining, sequence, joinedAt, silent } of kept.workers) {
			this.join(worker, sequence, joinedAt)
			if (silent) this.setSilent(worker.id, true)
			if (draining) this.setDraining(worker.id)
		}
		for (const id of kept.gone) this.gone.add(id)
	}
}
