/** A worker as the ledger keeps it. */
import type { Resources } from './Resources'

/** What is known of a worker when it joins. @public */
export interface WorkerOffer {
	readonly id: string
	readonly rack: string
	/** What it offers to tasks, after what is set aside for request slots. */
	readonly capacity: Resources
	/** Requests that it takes at the same time. */
	readonly slots: number
}

/**
 * A worker as the ledger keeps it.
 *
 * @public
 */
export class LedgerWorker {
	readonly id: string
	readonly rack: string
	capacity: Resources
	/** The most of each that it has offered; what has shrunk may grow again. */
	maxCapacity: Resources
	/** Below 0 where its room has shrunk under what is reserved. */
	free: Resources
	slots: number
	/** Thousandths of processors that work of the highest priority has of what is reserved. */
	urgentCpu = 0
	/** Whether new work may go there. */
	isOpen = true
	/** Where the index has filed it; -1 for nowhere. */
	indexCell = -1
	indexPosition = 0

	/** @param offer - what it offers. */
	constructor(offer: WorkerOffer) {
		this.id = offer.id
		this.rack = offer.rack
		this.capacity = offer.capacity
		this.maxCapacity = offer.capacity
		this.free = offer.capacity
		this.slots = offer.slots
	}

	/** Takes up what it offers from now on. */
	updateCapacity(capacity: Resources): void {
		this.capacity = capacity
		this.maxCapacity = {
			cpu: Math.max(this.maxCapacity.cpu, capacity.cpu),
			memory: Math.max(this.maxCapacity.memory, capacity.memory),
			accelerators: Math.max(this.maxCapacity.accelerators, capacity.accelerators),
		}
	}

	/** Whether more is reserved there than it has room for. */
	get isOvercommitted(): boolean {
		const { cpu, memory, accelerators } = this.free
		return cpu < 0 || memory < 0 || accelerators < 0
	}
}
