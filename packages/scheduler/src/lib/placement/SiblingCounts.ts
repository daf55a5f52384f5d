/** Counts the running tasks of each intent by worker and rack. */
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
 * The running tasks of each intent, by worker and rack.
 *
 * @public
 */
export class SiblingCounts {
	private readonly intents = new Map<string, IntentCounts>()

	/** @returns the counts of an intent. */
	countsOf(intent: string): TaskCounts {
		return this.intents.get(intent) ?? NO_TASKS
	}

	/**
	 * Counts a change of an intent's running tasks.
	 *
	 * @param by - 1 for a task that has started on the worker, -1 for one that has ended.
	 */
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
