/**
 * The ledger of what is reserved on each worker. All reservations go through it, so that no worker
 * is overcommitted.
 */
import { invariant, type Random } from '@rillrudder/utils'
import { CapacityIndex } from './CapacityIndex'
import { LedgerWorker, type WorkerOffer } from './LedgerWorker'
import { fits, minus, NO_RESOURCES, plus, roundDown, roundUp, type Resources } from './Resources'

/**
 * The reserved and free capacity of all workers of a data centre, in whole units: needs are rounded
 * up and capacities down, so that a release gives back exactly what its reservation took.
 *
 * @example
 * ```ts
 * const ledger = new Ledger(new Random(1))
 * ledger.join({ id: 'w1', rack: 'r1', capacity, slots: 8 })
 * ledger.reserve('w1', { cpu: 500, memory: 512, accelerators: 0 })
 * ```
 * @public
 */
export class Ledger {
	private readonly workers = new Map<string, LedgerWorker>()
	private readonly index: CapacityIndex
	private capacityTotal: Resources = NO_RESOURCES
	private releaseCount = 0
	private released = new Set<string>()

	/** @param random - breaks ties between equal workers. */
	constructor(random: Random) {
		this.index = new CapacityIndex(random)
	}

	/** Total capacity that the workers offer to tasks. */
	get total(): Resources {
		return this.capacityTotal
	}

	/**
	 * A counter that grows whenever capacity is released: until then a failed search need not be
	 * repeated.
	 */
	get releases(): number {
		return this.releaseCount
	}

	/** @returns the ids of the workers where capacity was released since the last call. */
	takeReleased(): ReadonlySet<string> {
		const { released } = this
		this.released = new Set()
		return released
	}

	/** The number of workers. */
	get size(): number {
		return this.workers.size
	}

	/** All workers. */
	all(): IterableIterator<LedgerWorker> {
		return this.workers.values()
	}

	/**
	 * @param id - a worker.
	 * @returns its entry, if it has joined.
	 */
	find(id: string): LedgerWorker | undefined {
		return this.workers.get(id)
	}

	/** Adds a worker, or updates what it offers while keeping its reservations. */
	join(offered: WorkerOffer): void {
		const offer = { ...offered, capacity: roundDown(offered.capacity) }
		const known = this.workers.get(offer.id)
		if (!known) {
			const worker = new LedgerWorker(offer)
			this.workers.set(offer.id, worker)
			this.index.add(worker)
			this.capacityTotal = plus(this.capacityTotal, offer.capacity)
		} else {
			this.capacityTotal = plus(minus(this.capacityTotal, known.capacity), offer.capacity)
			known.free = plus(known.free, minus(offer.capacity, known.capacity))
			known.updateCapacity(offer.capacity)
			known.slots = offer.slots
			if (known.isOpen) this.index.refresh(known)
		}
		this.recordRelease(offer.id)
	}

	/** Removes a worker whose leases have certainly expired. */
	leave(id: string): void {
		const worker = this.workers.get(id)
		if (!worker) return
		this.index.remove(worker)
		this.workers.delete(id)
		this.released.delete(id)
		this.capacityTotal = minus(this.capacityTotal, worker.capacity)
	}

	/** Opens a worker for new work, or closes it; its current work continues. */
	setOpen(id: string, isOpen: boolean): void {
		const worker = this.workers.get(id)
		if (!worker || worker.isOpen === isOpen) return
		worker.isOpen = isOpen
		if (isOpen) this.index.add(worker)
		else this.index.remove(worker)
		if (isOpen) this.recordRelease(id)
	}

	/**
	 * Reserves an amount.
	 *
	 * @param urgent - whether it is for work of the highest priority.
	 * @returns false if the worker is unknown, closed, or has less free.
	 */
	reserve(id: string, need: Resources, urgent = false): boolean {
		const worker = this.workers.get(id)
		if (!worker || !worker.isOpen || !fits(need, worker.free)) return false
		this.take(worker, roundUp(need), urgent)
		invariant(!worker.isOverbooked, 'no worker is given more than it has', { id, need })
		return true
	}

	/**
	 * Restores a reservation of an earlier leader. The worker's capacity may have shrunk since, so
	 * that more may be reserved there than it offers.
	 */
	restore(id: string, need: Resources, urgent = false): void {
		const worker = this.workers.get(id)
		if (worker) this.take(worker, roundUp(need), urgent)
	}

	/** Releases an amount. */
	release(id: string, need: Resources, urgent = false): void {
		const worker = this.workers.get(id)
		if (!worker) return
		const amount = roundUp(need)
		if (urgent) worker.urgentCpu -= amount.cpu
		worker.free = plus(worker.free, amount)
		invariant(fits(worker.free, worker.capacity), 'no more is given back than was taken', { id })
		this.recordRelease(id)
		if (worker.isOpen) this.index.refresh(worker)
	}

	/**
	 * @param need - what must be free.
	 * @param limit - maximum number of workers.
	 * @returns open workers that fit, the fullest first.
	 */
	candidates(need: Resources, limit: number): LedgerWorker[] {
		return this.index.candidates(need, limit)
	}

	private recordRelease(id: string): void {
		this.releaseCount += 1
		this.released.add(id)
	}

	private take(worker: LedgerWorker, need: Resources, urgent: boolean): void {
		if (urgent) worker.urgentCpu += need.cpu
		worker.free = minus(worker.free, need)
		if (worker.isOpen) this.index.refresh(worker)
	}
}
