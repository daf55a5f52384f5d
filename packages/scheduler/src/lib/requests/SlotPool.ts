/** The request slots that are lent to an entry instance, and the choice among their workers. */
import type { Random } from '@rillrudder/utils'

/** Weight of a new latency in the moving average. */
const LATENCY_WEIGHT = 0.2
/** Workers that are drawn at random for each request. */
const DRAWS = 2
/** Latency, in milliseconds, that is assumed for a worker that is new to the pool. */
const INITIAL_LATENCY_MS = 50
/** Slots that a new worker, or one that has just failed, may use at first. */
const INITIAL_LIMIT = 2

/** The lent slots of one worker. @public */
export interface LentSlots {
	readonly worker: string
	readonly address: string
	readonly slots: number
}

/** A slot in use. @public */
export interface AcquiredSlot {
	readonly worker: string
	readonly address: string
}

class PooledWorker {
	used = 0
	latency = INITIAL_LATENCY_MS
	/**
	 * Slow start: the usable slots of a worker that is new to this pool grow by one with each
	 * success.
	 */
	limit = INITIAL_LIMIT

	constructor(
		readonly id: string,
		public address: string,
		public slots: number
	) {}

	get free(): number {
		return Math.min(this.slots, this.limit) - this.used
	}
}

/**
 * The slots of an entry instance.
 *
 * @public
 */
export class SlotPool {
	private readonly workers = new Map<string, PooledWorker>()
	private available: PooledWorker[] = []
	/**
	 * Workers that have refused work here; they get none until they are dropped from the lent slots
	 * and lent again.
	 */
	private readonly closed = new Set<string>()

	/** @param random - draws the workers to compare. */
	constructor(private readonly random: Random) {}

	/** The number of slots in use. */
	get used(): number {
		let sum = 0
		for (const worker of this.workers.values()) sum += worker.used
		return sum
	}

	/** The number of slots that are lent or still in use. */
	get size(): number {
		let sum = 0
		for (const worker of this.workers.values()) sum += Math.max(worker.slots, worker.used)
		return sum
	}

	/**
	 * @param lent - all slots that are lent from now on. Requests that use more slots run to
	 * completion.
	 */
	update(lent: readonly LentSlots[]): void {
		const named = new Set(lent.map((one) => one.worker))
		for (const id of this.closed) if (!named.has(id)) this.closed.delete(id)
		for (const one of lent) {
			if (this.closed.has(one.worker)) continue
			const known = this.workers.get(one.worker)
			if (known) {
				known.slots = one.slots
				known.address = one.address
			} else {
				this.workers.set(one.worker, new PooledWorker(one.worker, one.address, one.slots))
			}
		}
		for (const worker of this.workers.values()) {
			if (!named.has(worker.id)) worker.slots = 0
			if (worker.slots === 0 && worker.used === 0) this.workers.delete(worker.id)
		}
		this.available = [...this.workers.values()].filter((worker) => worker.slots > 0)
	}

	/** Stops using a worker that accepts no more work. */
	close(worker: string): void {
		const known = this.workers.get(worker)
		if (!known) return
		this.closed.add(worker)
		known.slots = 0
		this.available = this.available.filter((one) => one !== known)
		if (known.used === 0) this.workers.delete(worker)
	}

	/** The slots that are held of each worker: those in use, or those lent if there are more. */
	held(): LentSlots[] {
		return [...this.workers.values()].map((worker) => ({
			worker: worker.id,
			address: worker.address,
			slots: Math.max(worker.slots, worker.used),
		}))
	}

	/**
	 * Returns slots that are not in use.
	 *
	 * @param count - maximum number of slots to return.
	 */
	returnIdle(count: number): void {
		let remaining = count
		for (const worker of this.workers.values()) {
			const idle = Math.min(remaining, worker.slots - worker.used)
			if (idle <= 0) continue
			worker.slots -= idle
			remaining -= idle
		}
		this.available = this.available.filter((worker) => worker.slots > 0)
	}

	/**
	 * Acquires a slot on the better of two workers drawn at random, by latency and the share of slots
	 * in use.
	 *
	 * @param avoid - a worker that has just failed this request; used only if no other worker has a
	 * free slot.
	 * @returns the slot, or undefined if none is free.
	 */
	acquire(avoid?: string): AcquiredSlot | undefined {
		const best = this.chooseOfTwo(avoid) ?? this.firstFree(avoid)
		if (!best) return undefined
		best.used += 1
		return { worker: best.id, address: best.address }
	}

	/**
	 * Releases a slot.
	 *
	 * @param worker - the worker of the slot.
	 * @param latency - how long the request took, in milliseconds; absent if it failed.
	 */
	release(worker: string, latency?: number): void {
		const known = this.workers.get(worker)
		if (!known) return
		known.used -= 1
		if (latency === undefined) {
			known.limit = INITIAL_LIMIT
		} else {
			known.latency += (latency - known.latency) * LATENCY_WEIGHT
			known.limit += 1
		}
		if (known.slots === 0 && known.used === 0) this.workers.delete(worker)
	}

	private chooseOfTwo(avoid?: string): PooledWorker | undefined {
		if (this.available.length === 0) return undefined
		let best: PooledWorker | undefined
		for (let draw = 0; draw < DRAWS; draw++) {
			const worker = this.random.pick(this.available)
			if (worker.free <= 0 || worker.id === avoid) continue
			if (!best || costOf(worker) < costOf(best)) best = worker
		}
		return best
	}

	private firstFree(avoid?: string): PooledWorker | undefined {
		const free = this.available.filter((worker) => worker.free > 0)
		return free.find((worker) => worker.id !== avoid) ?? free[0]
	}
}

function costOf(worker: PooledWorker): number {
	return (worker.latency * (worker.used + 1)) / worker.slots
}
