/** The account of what every worker has given away; the one place that can overcommit, and does not. */
import { invariant, type Random } from '@rillrudder/utils'
import { CapacityIndex } from './CapacityIndex'
import { LedgerWorker, type WorkerOffer } from './LedgerWorker'
import { fits, minus, NO_RESOURCES, plus, type Resources } from './Resources'

/**
 * The account of all workers of a data centre.
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

	/** What all workers offer to tasks. */
	get total(): Resources {
		return this.capacityTotal
	}

	/** Grows whenever something came free, so that a failed search need not be repeated before. */
	get releases(): number {
		return this.releaseCount
	}

	/** @returns ids of the workers where something came free since this was last asked. */
	takeReleased(): ReadonlySet<string> {
		const { released } = this
		this.released = new Set()
		return released
	}

	/** How many workers there are. */
	get size(): number {
		return this.workers.size
	}

	/** All workers. */
	all(): IterableIterator<LedgerWorker> {
		return this.workers.values()
	}

	/**
	 * @param id - a worker.
	 * @returns its account, if it has joined.
	 */
	find(id: string): LedgerWorker | undefined {
		return this.workers.get(id)
	}

	/** Adds a worker, or takes up its new offer while keeping what is reserved there. */
	join(offer: WorkerOffer): void {
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
		this.noteRelease(offer.id)
	}

	/** Forgets a worker whose leases are certainly over. */
	leave(id: string): void {
		const worker = this.workers.get(id)
		if (!worker) return
		this.index.remove(worker)
		this.workers.delete(id)
		this.released.delete(id)
		this.capacityTotal = minus(this.capacityTotal, worker.capacity)
	}

	/** Opens a worker for new work, or closes it; what it has goes on. */
	setOpen(id: string, open: boolean): void {
		const worker = this.workers.get(id)
		if (!worker || worker.isOpen === open) return
		worker.isOpen = open
		if (open) this.index.add(worker)
		else this.index.remove(worker)
		if (open) this.noteRelease(id)
	}

	/**
	 * Takes an amount.
	 *
	 * @param urgent - whether it is for work of the highest priority.
	 * @returns false when the worker is unknown, closed, or has not that much free.
	 */
	reserve(id: string, need: Resources, urgent = false): boolean {
		const worker = this.workers.get(id)
		if (!worker || !worker.isOpen || !fits(need, worker.free)) return false
		this.take(worker, need, urgent)
		invariant(!worker.isOvercommitted, 'no worker is given more than it has', { id, need })
		return true
	}

	/**
	 * Takes up an amount that was given away earlier, by a leader before this one. The worker's room may have shrunk since, so
	 * it may have more than it offers.
	 */
	restore(id: string, need: Resources, urgent = false): void {
		const worker = this.workers.get(id)
		if (worker) this.take(worker, need, urgent)
	}

	/** Gives an amount back. */
	release(id: string, amount: Resources, urgent = false): void {
		const worker = this.workers.get(id)
		if (!worker) return
		if (urgent) worker.urgentCpu -= amount.cpu
		worker.free = plus(worker.free, amount)
		invariant(fits(worker.free, worker.capacity), 'no more is given back than was taken', { id })
		this.noteRelease(id)
		if (worker.isOpen) this.index.refresh(worker)
	}

	/**
	 * @param need - what must be free.
	 * @param most - how many at most.
	 * @returns open workers that fit, the fullest first.
	 */
	candidates(need: Resources, most: number): LedgerWorker[] {
		return this.index.candidates(need, most)
	}

	private noteRelease(id: string): void {
		this.releaseCount += 1
		this.released.add(id)
	}

	private take(worker: LedgerWorker, need: Resources, urgent: boolean): void {
		if (urgent) worker.urgentCpu += need.cpu
		worker.free = minus(worker.free, need)
		if (worker.isOpen) this.index.refresh(worker)
	}
}
