/** Counts where the running tasks of each intent are. */
import { NO_TASKS, type TaskCounts } from './chooseWorker'

class IntentCounts implements TaskCounts {
	private readonly workers = new Map<string, number>()
	private readonly racks = new Map<string, number>()

	countOnWorker(worker: string): number {
		return this.workers.get(worker) ?? 0
	}

	countInRack(rack: string): number {
		return this.racks.get(rack) ?? 0
	}

	adjust(worker: string, rack: string, by: number): void {
		addTo(this.workers, worker, by)
		addTo(this.racks, rack, by)
	}

	get isEmpty(): boolean {
		return this.workers.size === 0
	}
}

/**
 * Where the running tasks of each intent are.
 *
 * @public
 */
export class SiblingCounts {
	private readonly intents = new Map<string, IntentCounts>()

	/** Where an intent's tasks are. */
	countsOf(intent: string): TaskCounts {
		return this.intents.get(intent) ?? NO_TASKS
	}

	/** A task has come to a worker, or with -1 has gone. */
	adjust(intent: string, worker: string, rack: string, by: 1 | -1): void {
		let counts = this.intents.get(intent)
		if (!counts) {
			counts = new IntentCounts()
			this.intents.set(intent, counts)
		}
		counts.adjust(worker, rack, by)
		if (counts.isEmpty) this.intents.delete(intent)
	}
}

function addTo(counts: Map<string, number>, key: string, by: number): void {
	const count = (counts.get(key) ?? 0) + by
	if (count === 0) counts.delete(key)
	else counts.set(key, count)
}
