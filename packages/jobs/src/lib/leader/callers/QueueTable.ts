/** Resolves the queue of a request by its host and path, or by its name. */
import { isSameQueue, type CellConfiguration, type Queue } from '../../records/Cell'
import type { Destination } from './calls'

/** A queue and the rest of the path after its prefix. @public */
export interface ResolvedDestination {
	readonly queue: Queue
	/** The job's id; empty for the queue itself. */
	readonly id: string
}

/** @returns whether a call addresses a job of a queue, by its path or by the queue's name. @public */
export function addressesJob(to: Destination, queue: Queue, id: string): boolean {
	if ('queue' in to) return to.queue === queue.name && to.id === id
	return 'path' in to && to.host === queue.host && to.path === queue.prefix + id
}

/**
 * The queues of one configuration, indexed by host and by name.
 *
 * @public
 */
export class QueueTable {
	private readonly byHost = new Map<string, Queue[]>()
	private readonly byName = new Map<string, Queue>()

	/** @param configuration - the configuration, or undefined before the first. */
	constructor(configuration: CellConfiguration | undefined) {
		for (const queue of configuration?.queues ?? []) {
			this.byName.set(queue.name, queue)
			const queues = this.byHost.get(queue.host) ?? []
			queues.push(queue)
			this.byHost.set(queue.host, queues)
		}
		for (const queues of this.byHost.values()) {
			queues.sort((left, right) => right.prefix.length - left.prefix.length)
		}
	}

	/** @returns the queue as configured now; as it was if it is not configured any more. */
	currentOf(queue: Queue): Queue {
		return this.byHost.get(queue.host)?.find((other) => isSameQueue(other, queue)) ?? queue
	}

	/**
	 * @returns the queue of the given name, or the one with the longest prefix of the path;
	 * undefined if there is none.
	 */
	find(to: Destination): ResolvedDestination | undefined {
		if ('queue' in to) {
			const queue = this.byName.get(to.queue)
			return queue && { queue, id: to.id }
		}
		if (!('path' in to)) return undefined
		const { host, path } = to
		const queue = this.byHost.get(host)?.find(({ prefix }) => path.startsWith(prefix))
		return queue && { queue, id: path.slice(queue.prefix.length) }
	}
}
