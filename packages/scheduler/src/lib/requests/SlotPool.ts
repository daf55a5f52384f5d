/** The request slots that an entry instance has been lent, and the choice among their workers. */
import type { Random } from '@rillrudder/utils'

const LATENCY_WEIGHT = 0.2
const CHOICES = 2
/** A worker that is new to the pool counts as this slow until it has been seen, in milliseconds. */
const UNKNOWN_LATENCY = 50
const FIRST_LIMIT = 2

/** Slots of one worker that have been lent. @public */
export interface LentSlots {
	readonly worker: string
	readonly address: string
	readonly slots: number
}

/** A slot that was taken. @public */
export interface AcquiredSlot {
	readonly worker: string
	readonly address: string
}

class PooledWorker {
	used = 0
	latency = UNKNOWN_LATENCY
	/** Slow start: a worker new to this pool gets its slots one success at a time. */
	limit = FIRST_LIMIT

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
	/** Workers that have refused work here; they get none until they are lent anew. */
	private readonly closed = new Set<string>()

	/** @param random - draws the workers to compare. */
	constructor(private readonly random: Random) {}

	/** Slots that are in use. */
	get used(): number {
		let sum = 0
		for (const worker of this.workers.values()) sum += worker.used
		return sum
	}

	/** Slots that are lent, in use or not. */
	get size(): number {
		let sum = 0
		for (const worker of this.workers.values()) sum += Math.max(worker.slots, worker.used)
		return sum
	}

	/** @param lent - all slots that are lent from now on; what is in use above that runs to its end. */
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

	/** A worker takes no more work: nothing of it is used from now on. */
	close(worker: string): void {
		const known = this.workers.get(worker)
		if (!known) return
		this.closed.add(worker)
		known.slots = 0
		this.available = this.available.filter((one) => one !== known)
		if (known.used === 0) this.workers.delete(worker)
	}

	/** What is held of each worker: what is in use, or lent if that is more. */
	held(): LentSlots[] {
		return [...this.workers.values()].map((worker) => ({
			worker: worker.id,
			address: worker.address,
			slots: Math.max(worker.slots, worker.used),
		}))
	}

	/**
	 * Gives back slots that are not in use.
	 *
	 * @param most - how many to give back.
	 */
	returnIdle(most: number): void {
		let left = most
		for (const worker of this.workers.values()) {
			const idle = Math.min(left, worker.slots - worker.used)
			if (idle <= 0) continue
			worker.slots -= idle
			left -= idle
		}
		this.available = this.available.filter((worker) => worker.slots > 0)
	}

	/**
	 * Takes a slot on the better of two workers drawn at random: quicker, and with more free.
	 *
	 * @param avoid - a worker that has just failed this request.
	 * @returns the slot, or undefined when none is free.
	 */
	acquire(avoid?: string): AcquiredSlot | undefined {
		const best = this.best(avoid) ?? this.firstFree(avoid)
		if (!best) return undefined
		best.used += 1
		return { worker: best.id, address: best.address }
	}

	/**
	 * A slot is free again.
	 *
	 * @param worker - its worker.
	 * @param latency - how long the request took in milliseconds; absent when it failed.
	 */
	release(worker: string, latency?: number): void {
		const known = this.workers.get(worker)
		if (!known) return
		known.used -= 1
		if (latency === undefined) {
			known.limit = FIRST_LIMIT
		} else {
			known.latency += (latency - known.latency) * LATENCY_WEIGHT
			known.limit += 1
		}
		if (known.slots === 0 && known.used === 0) this.workers.delete(worker)
	}

	private best(avoid?: string): PooledWorker | undefined {
		if (this.available.length === 0) return undefined
		let best: PooledWorker | undefined
		for (let draw = 0; draw < CHOICES; draw++) {
			const worker = this.random.pick(this.available)
			if (worker.free <= 0 || worker.id === avoid) continue
			if (!best || cost(worker) < cost(best)) best = worker
		}
		return best
	}

	private firstFree(avoid?: string): PooledWorker | undefined {
		const free = this.available.filter((worker) => worker.free > 0)
		return free.find((worker) => worker.id !== avoid) ?? free[0]
	}
}

function cost(worker: PooledWorker): number {
	return (worker.latency * (worker.used + 1)) / worker.slots
}
