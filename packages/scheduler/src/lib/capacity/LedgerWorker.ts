/** The ledger's entry of a worker. */
import type { Resources } from './Resources'

/** What a worker offers when it joins. @public */
export interface WorkerOffer {
	readonly id: string
	readonly rack: string
	/** What it offers to tasks, without what is set aside for request slots. */
	readonly capacity: Resources
	/** The number of requests that it processes concurrently. */
	readonly slots: number
}

/**
 * The ledger's entry of a worker.
 *
 * @public
 */
export class LedgerWorker {
	readonly id: string
	readonly rack: string
	capacity: Resources
	/**
	 * The largest amount of each resource that it has offered: a capacity that has shrunk may grow
	 * again.
	 */
	maxCapacity: Resources
	/** Negative if the capacity has shrunk below what is reserved. */
	free: Resources
	slots: number
	/** Thousandths of a processor that are reserved for work of the highest priority. */
	urgentCpu = 0
	/** Whether new work may go there. */
	isOpen = true
	/** Cell of the capacity index that holds the worker; -1 if it isn't indexed. */
	indexCell = -1
	/** Position in that cell. */
	indexPosition = 0

	/** @param offer - what the worker offers. */
	constructor(offer: WorkerOffer) {
		this.id = offer.id
		this.rack = offer.rack
		this.capacity = offer.capacity
		this.maxCapacity = offer.capacity
		this.free = offer.capacity
		this.slots = offer.slots
	}

	/** Updates what the worker offers. */
	updateCapacity(capacity: Resources): void {
		this.capacity = capacity
		this.maxCapacity = {
			cpu: Math.max(this.maxCapacity.cpu, capacity.cpu),
			memory: Math.max(this.maxCapacity.memory, capacity.memory),
			accelerators: Math.max(this.maxCapacity.accelerators, capacity.accelerators),
		}
	}

	/** Whether more is reserved there than it offers. */
	get isOverbooked(): boolean {
		const { cpu, memory, accelerators } = this.free
		return cpu < 0 || memory < 0 || accelerators < 0
	}
}
