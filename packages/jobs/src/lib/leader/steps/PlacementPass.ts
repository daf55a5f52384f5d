/**
 * One pass over the waiting steps. A full pass tries every step on every worker; between two of them a step that found no
 * place is tried only where something has come free since, so that a cell in which many steps wait costs no more than what changes in it.
 */
import { hasCapacity, type WorkerOption } from './chooseWorkerForStep'
import type { StepWork } from './StepWork'

/** The workers to which new work may go. @internal */
export interface OpenWorkers {
	/** @returns all of them. */
	all(): readonly WorkerOption[]
	/** @returns one by its id; undefined where no new work may go to it. */
	find(id: string): WorkerOption | undefined
}

/**
 * One pass over the waiting steps.
 *
 * @internal
 */
export class PlacementPass {
	private openWorkers: readonly WorkerOption[] | undefined
	private freedWorkers: readonly WorkerOption[] | undefined
	private readonly byDemand = new Map<string, readonly WorkerOption[]>()

	/**
	 * @param now - the moment, on the leader's clock.
	 * @param isFull - whether all waiting steps are tried, and room is kept anew.
	 * @param workers - to which new work may go.
	 * @param released - ids of workers where something has come free since the pass before.
	 */
	constructor(
		readonly now: number,
		readonly isFull: boolean,
		private readonly workers: OpenWorkers,
		private readonly released: ReadonlySet<string>
	) {}

	/** All workers to which new work may go. */
	get open(): readonly WorkerOption[] {
		this.openWorkers ??= this.workers.all()
		return this.openWorkers
	}

	/** @returns whether a step is tried in this pass. */
	shouldTry(work: StepWork): boolean {
		return this.isFull || work.shouldTryAllWorkers || this.getFreedFor(work).length > 0
	}

	/** @returns whether a step is tried only where something has come free; a gang needs all its room at once. */
	isLimitedToFreed(work: StepWork): boolean {
		return !this.isFull && !work.shouldTryAllWorkers && !work.step.gang
	}

	/** @returns workers of the right service with the right label. */
	getEligible(work: StepWork): readonly WorkerOption[] {
		const key = `${work.queue.service} ${work.step.requires}`
		const known = this.byDemand.get(key)
		if (known) return known
		const found = this.open.filter((option) => isEligible(work, option))
		this.byDemand.set(key, found)
		return found
	}

	/** @returns of the workers named those that are open and eligible; few are looked at, however many workers there are. */
	findEligible(work: StepWork, ids: Iterable<string>): WorkerOption[] {
		const found: WorkerOption[] = []
		for (const id of ids) {
			const option = this.workers.find(id)
			if (option && isEligible(work, option)) found.push(option)
		}
		return found
	}

	/** @returns eligible workers where something has come free, and that may have a task of the step and have room for it. */
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

/** Whether a worker is of the right service and has the right label. */
function isEligible({ queue, step }: StepWork, { view: { worker } }: WorkerOption): boolean {
	if (worker.service !== queue.service) return false
	return step.requires === '' || worker.labels.includes(step.requires)
}
