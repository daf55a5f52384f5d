/** Plain baselines: one queue in order of arrival, and one way to choose a worker by looking at all. */
import {
	fits,
	minus,
	plus,
	type LedgerWorker,
	type Resources,
	type Task,
} from '@rillrudder/scheduler'
import type { Random } from '@rillrudder/utils'
import { Policy, type Placed } from './Policy'

/** Waiting items that are tried in one round. */
const TRIED = 300

interface PlainWorker {
	readonly id: string
	readonly capacity: Resources
	free: Resources
	open: boolean
}

/** Chooses among the workers that fit. */
export abstract class Chooser {
	abstract readonly name: string
	abstract choose(fitting: readonly PlainWorker[]): PlainWorker
}

/** Any worker that fits. */
export class RandomFeasible extends Chooser {
	readonly name = 'random feasible'

	constructor(private readonly random: Random) {
		super()
	}

	override choose(fitting: readonly PlainWorker[]): PlainWorker {
		return this.random.pick(fitting)
	}
}

/** The first worker that fits. */
export class FirstFit extends Chooser {
	readonly name = 'first fit'

	override choose(fitting: readonly PlainWorker[]): PlainWorker {
		return fitting[0]
	}
}

/** The worker with the most free. */
export class LeastLoaded extends Chooser {
	readonly name = 'least loaded'

	override choose(fitting: readonly PlainWorker[]): PlainWorker {
		return fitting.reduce((best, one) => (share(one) > share(best) ? one : best))
	}
}

/** A queue in order of arrival with a chooser. */
export class BaselinePolicy extends Policy {
	readonly name: string
	private readonly workers: PlainWorker[] = []
	private readonly byId = new Map<string, PlainWorker>()
	private queue: (readonly Task[])[] = []
	private readonly cancelled = new Set<string>()

	constructor(private readonly chooser: Chooser) {
		super()
		this.name = chooser.name
	}

	override get packed(): number {
		let free = 0
		let total = 0
		for (const worker of this.workers) {
			free += worker.free.cpu
			total += worker.capacity.cpu
		}
		return 1 - free / Math.max(1, total)
	}

	override join(worker: Pick<LedgerWorker, 'id' | 'capacity'>): void {
		const { id, capacity } = worker
		const plain = { id, capacity, free: capacity, open: true }
		this.workers.push(plain)
		this.byId.set(id, plain)
	}

	override lose(worker: string): void {
		const lost = this.byId.get(worker)
		if (lost) lost.open = false
	}

	override submit(tasks: readonly Task[]): void {
		this.queue.push(tasks)
	}

	override cancel(task: string): void {
		this.cancelled.add(task)
	}

	override ended(task: Task, worker: string): void {
		const there = this.byId.get(worker)
		if (there) there.free = plus(there.free, task.need)
	}

	override decide(): Placed[] {
		const placed: Placed[] = []
		const left: (readonly Task[])[] = []
		this.queue.forEach((tasks, position) => {
			if (tasks.some((task) => this.cancelled.has(task.id))) return
			if (position >= TRIED || !this.start(tasks, placed)) left.push(tasks)
		})
		this.queue = left
		return placed
	}

	/** Starts all tasks of an item, or none. */
	private start(tasks: readonly Task[], placed: Placed[]): boolean {
		const taken: Placed[] = []
		for (const task of tasks) {
			const fitting = this.workers.filter((one) => one.open && fits(task.need, one.free))
			if (fitting.length === 0) {
				for (const one of taken) this.ended(one.task, one.worker)
				return false
			}
			const worker = this.chooser.choose(fitting)
			worker.free = minus(worker.free, task.need)
			taken.push({ task, worker: worker.id })
		}
		placed.push(...taken)
		return true
	}
}

function share(worker: PlainWorker): number {
	return worker.free.cpu / worker.capacity.cpu + worker.free.memory / worker.capacity.memory
}
