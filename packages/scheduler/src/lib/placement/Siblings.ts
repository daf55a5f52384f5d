/** Counts where the running tasks of each intent are. */
import { NOWHERE, type Whereabouts } from './chooseWorker'

class Counts implements Whereabouts {
	private readonly workers = new Map<string, number>()
	private readonly racks = new Map<string, number>()

	countOnWorker(worker: string): number {
		return this.workers.get(worker) ?? 0
	}

	countInRack(rack: string): number {
		return this.racks.get(rack) ?? 0
	}

	change(worker: string, rack: string, by: number): void {
		bump(this.workers, worker, by)
		bump(this.racks, rack, by)
	}

	get empty(): boolean {
		return this.workers.size === 0
	}
}

/**
 * Where the running tasks of each intent are.
 *
 * @public
 */
export class Siblings {
	private readonly intents = new Map<string, Counts>()

	/** Where an intent's tasks are. */
	of(intent: string): Whereabouts {
		return this.intents.get(intent) ?? NOWHERE
	}

	/** A task has come to a worker, or with -1 has gone. */
	change(intent: string, worker: string, rack: string, by: 1 | -1): void {
		let counts = this.intents.get(intent)
		if (!counts) {
			counts = new Counts()
			this.intents.set(intent, counts)
		}
		counts.change(worker, rack, by)
		if (counts.empty) this.intents.delete(intent)
	}
}

function bump(counts: Map<string, number>, key: string, by: number): void {
	const count = (counts.get(key) ?? 0) + by
	if (count === 0) counts.delete(key)
	else counts.set(key, count)
}
