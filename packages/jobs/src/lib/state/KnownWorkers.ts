/** The replicated list of workers that have joined the cell. */
import type { Worker } from '../records/Cell'
import { workerNameOf } from '../records/Incarnation'

/** Most ids of removed workers remembered, so that a late heartbeat does not add one again. */
const MAX_GONE_IDS = 4000

/** A worker and its replicated status. @public */
export interface KnownWorker {
	readonly worker: Worker
	draining: boolean
	/** Sequence number of the heartbeat that described it; absent in older records. */
	readonly sequence?: number
	/** When it joined, milliseconds since the epoch; absent in older records. */
	readonly joinedAt?: number
	/** Whether the latest leader has received no recent heartbeat of it. */
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

	/** All workers that have not been removed. */
	all(): IterableIterator<KnownWorker> {
		return this.workers.values()
	}

	/** Number of workers. */
	get size(): number {
		return this.workers.size
	}

	/** @returns a worker by its id. */
	find(id: string): KnownWorker | undefined {
		return this.workers.get(id)
	}

	/** @returns whether a worker was removed because it ended. */
	isGone(id: string): boolean {
		return this.gone.has(id)
	}

	/** @returns the latest worker known at an address. */
	findByAddress(address: string): KnownWorker | undefined {
		return this.workers.get(this.byAddress.get(address) ?? '')
	}

	/** @returns the incarnation known under a worker name. */
	findByName(name: string): KnownWorker | undefined {
		return this.workers.get(this.byName.get(name) ?? '')
	}

	/** Adds a worker, or replaces its description. */
	join(worker: Worker, sequence = 0, at?: number): void {
		const known = this.workers.get(worker.id)
		const draining = known?.draining ?? false
		const joinedAt = known ? known.joinedAt : at
		this.workers.set(worker.id, { worker, draining, sequence, joinedAt })
		this.byAddress.set(worker.address, worker.id)
		this.byName.set(workerNameOf(worker.id), worker.id)
	}

	/** Marks a worker as draining. */
	setDraining(id: string): void {
		const known = this.workers.get(id)
		if (known) known.draining = true
	}

	/** Sets whether a worker is without recent heartbeat. */
	setSilent(id: string, silent: boolean): void {
		const known = this.workers.get(id)
		if (known) known.silent = silent
	}

	/** Removes a worker that has ended; it can not be added again. */
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

	/** @returns the content for a snapshot. */
	snapshot(): KnownWorkersSnapshot {
		return { workers: [...this.workers.values()], gone: [...this.gone] }
	}

	/** Replaces the content by that of a snapshot. */
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
