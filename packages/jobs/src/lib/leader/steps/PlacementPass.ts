/**
 * One pass over the waiting steps. A full pass tries every step on every worker. Between full
 * passes, a step that could not be placed is tried only on workers where capacity was released
 * since, so that the cost in a cell with many waiting steps depends on what changes.
 */
import { hasCapacity, type WorkerOption } from './chooseWorkerForStep'
import type { StepWork } from './StepWork'

/** The open workers: those that accept new work. @internal */
export interface OpenWorkers {
	/** @returns all of them. */
	all(): readonly WorkerOption[]
	/** @returns a worker by its id; undefined if it accepts no new work. */
	find(id: string): WorkerOption | undefined
	/**
	 * @param lasting - whether the work is a lasting task.
	 * @returns the closed workers that accept a probe by work that no open worker can run.
	 */
	probeable(lasting: boolean): readonly WorkerOption[]
}

/**
 * One pass over the waiting steps.
 *
 * @internal
 */
export class PlacementPass {
	private openWorkers: readonly WorkerOption[] | undefined
	private freedWorkers: readonly WorkerOption[] | undefined
	/** Closed workers that accept a probe, by whether it is by a lasting task. */
	private readonly probeable = new Map<boolean, readonly WorkerOption[]>()
	private readonly byDemand = new Map<string, readonly WorkerOption[]>()

	/**
	 * @param now - the current time, on the leader's clock.
	 * @param isFull - whether all waiting steps are tried and reservations are rebuilt.
	 * @param workers - the open workers.
	 * @param released - ids of workers where capacity was released since the previous pass.
	 */
	constructor(
		readonly now: number,
		readonly isFull: boolean,
		private readonly workers: OpenWorkers,
		private readonly released: ReadonlySet<string>
	) {}

	/** All open workers. */
	get open(): readonly WorkerOption[] {
		this.openWorkers ??= this.workers.all()
		return this.openWorkers
	}

	/** @returns whether a step is tried in this pass. */
	shouldTry(work: StepWork): boolean {
		return this.isFull || work.shouldTryAllWorkers || this.getFreedFor(work).length > 0
	}

	/**
	 * @returns whether a step is tried only on workers where capacity was released. A gang is not:
	 * it needs all its capacity at once.
	 */
	isLimitedToFreed(work: StepWork): boolean {
		return !this.isFull && !work.shouldTryAllWorkers && !work.step.gang
	}

	/** @returns open workers of the right service with the required label. */
	getEligible(work: StepWork): readonly WorkerOption[] {
		const key = `${work.queue.service} ${work.step.requires}`
		const known = this.byDemand.get(key)
		if (known) return known
		const found = this.open.filter((option) => isEligible(work, option))
		this.byDemand.set(key, found)
		return found
	}

	/** @returns closed workers of the right service and label that accept a probe by a step. */
	getProbeable(work: StepWork): readonly WorkerOption[] {
		const { lasting } = work.step
		const known = this.probeable.get(lasting) ?? this.workers.probeable(lasting)
		this.probeable.set(lasting, known)
		return known.filter((option) => isEligible(work, option))
	}

	/**
	 * @returns those of the given workers that are open and eligible. Only these are looked up,
	 * however many workers there are.
	 */
	findEligible(work: StepWork, ids: Iterable<string>): WorkerOption[] {
		const found: WorkerOption[] = []
		for (const id of ids) {
			const option = this.workers.find(id)
			if (option && isEligible(work, option)) found.push(option)
		}
		return found
	}

	/**
	 * @returns eligible workers where capacity was released, which have capacity for a task of the
	 * step and are not ruled out by the queue's policy.
	 */
	getFreedFor(work: StepWork): WorkerOption[] {
		return this.freed.filter(
			(option) =>
				hasCapacity(work, option) &&
				isEligible(work, option) &&
				!work.advice.isUnfit(option.view.id)
		)
	}

	private get freed(): readonly WorkerOption[] {
		this.freedWorkers ??= [...this.released].flatMap((id) => this.workers.find(id) ?? [])
		return this.freedWorkers
	}
}

/** Whether a worker has the right service and the required label. */
function isEligible({ queue, step }: StepWork, { view: { worker } }: WorkerOption): boolean {
	if (worker.service !== queue.service) return false
	return step.requires === '' || worker.labels.includes(step.requires)
}
