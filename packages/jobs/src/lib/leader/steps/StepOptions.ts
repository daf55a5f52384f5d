/** Which open workers a step may use in a pass. */
import { atLikeSpeed } from '../../speeds/speedFit'
import type { WorkerOption } from './chooseWorkerForStep'
import type { PlacementPass } from './PlacementPass'
import type { StepWork } from './StepWork'

/**
 * The workers of one step in one pass. Where its queue has a policy, the few that were asked about are looked up, not found among all.
 *
 * @internal
 */
export class StepOptions {
	/** Open workers of the right service, label and speed. */
	readonly eligible: readonly WorkerOption[]
	private readonly hasLikeSpeed: boolean

	constructor(
		private readonly work: StepWork,
		private readonly pass: PlacementPass
	) {
		const open = pass.eligible(work)
		this.eligible = atLikeSpeed(work, open, pass.now)
		this.hasLikeSpeed = this.eligible !== open
	}

	/** Those that may run it now. */
	get ready(): readonly WorkerOption[] {
		const { queue, advice } = this.work
		return queue.advice ? this.named(advice.holding(this.pass.now)) : this.eligible
	}

	/** Those that its queue's policy is known to allow. */
	get allowed(): readonly WorkerOption[] {
		const { queue, advice } = this.work
		return queue.advice ? this.named(advice.allowed) : this.eligible
	}

	private named(ids: Iterable<string>): readonly WorkerOption[] {
		const found = this.pass.named(this.work, ids)
		if (!this.hasLikeSpeed) return found
		const alike = new Set(this.eligible.map(({ view }) => view.id))
		return found.filter(({ view }) => alike.has(view.id))
	}
}
