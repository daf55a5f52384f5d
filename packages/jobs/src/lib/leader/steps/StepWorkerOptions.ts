/** Selects the open workers that a step may use in a pass. */
import { selectSimilarSpeed } from '../../speeds/speedFit'
import type { WorkerOption } from './chooseWorkerForStep'
import type { PlacementPass } from './PlacementPass'
import type { StepWork } from './StepWork'

/**
 * The workers of one step in one pass. If the queue has a policy, the few workers that it was asked
 * about are looked up by id instead of being filtered from all.
 *
 * @internal
 */
export class StepWorkerOptions {
	/** Open workers of the right service, label and speed. */
	readonly eligible: readonly WorkerOption[]
	private readonly isFilteredBySpeed: boolean

	constructor(
		private readonly work: StepWork,
		private readonly pass: PlacementPass
	) {
		const open = pass.getEligible(work)
		this.eligible = selectSimilarSpeed(work, open, pass.now)
		this.isFilteredBySpeed = this.eligible !== open
	}

	/** Eligible workers that may run the step now. */
	get ready(): readonly WorkerOption[] {
		const { queue, advice } = this.work
		return queue.advice ? this.findByIds(advice.workersWithTicket(this.pass.now)) : this.eligible
	}

	/** Eligible workers that the queue's policy is known to allow. */
	get allowed(): readonly WorkerOption[] {
		const { queue, advice } = this.work
		return queue.advice ? this.findByIds(advice.allowed) : this.eligible
	}

	private findByIds(ids: Iterable<string>): readonly WorkerOption[] {
		const found = this.pass.findEligible(this.work, ids)
		if (!this.isFilteredBySpeed) return found
		const eligibleIds = new Set(this.eligible.map(({ view }) => view.id))
		return found.filter(({ view }) => eligibleIds.has(view.id))
	}
}
