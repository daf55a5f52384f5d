/**
 * Room that other work leaves on each worker to urgent work, which is short and comes in bursts. It is left only while
 * the service is in demand: in a calm one urgent work finds room anyway, and nothing should wait for it.
 */
import type { Option } from '../leader/chooseForStep'
import type { StepWork } from '../leader/StepWork'

/**
 * Share of a worker's processors. Of the users' mix urgent work takes a sixth of the cell on the mean and twice that in
 * a burst.
 */
const SHARE = 0.25
/** Share of a service's processors that must be reserved for the rest to be kept back. */
const IN_DEMAND = 0.5

interface Use {
	reserved: number
	capacity: number
}

/**
 * The share of each worker that is left to urgent work.
 *
 * @internal
 */
export class UrgentShare {
	private uses = new Map<string, Use>()

	/** A new pass over the waiting steps begins, with these open workers. */
	beginPass(open: readonly Option[]): void {
		this.uses = new Map()
		for (const { view, account } of open) {
			const { service } = view.worker
			const use = this.uses.get(service) ?? { reserved: 0, capacity: 0 }
			use.reserved += account.reserved.cpu
			use.capacity += account.capacity.cpu
			this.uses.set(service, use)
		}
	}

	/** So many tasks of a step have been given room in this pass. */
	took({ queue, need }: StepWork, tasks: number): void {
		const use = this.uses.get(queue.service)
		if (use) use.reserved += need.cpu * tasks
	}

	/** @returns whether one more task of a step leaves the worker's share to urgent work. */
	allows(work: StepWork, option: Option): boolean {
		return this.copiesBeside(work, option, option.account.ordinary) >= 1
	}

	/**
	 * @param work - a step.
	 * @param option - a worker.
	 * @param ordinary - thousandths of a processor that work which is not urgent has there.
	 * @returns how many of the step's tasks leave the share to urgent work.
	 */
	copiesBeside(work: StepWork, option: Option, ordinary: number): number {
		const { cpu } = work.need
		if (!work.yields || cpu === 0 || !this.isInDemand(option)) return Number.POSITIVE_INFINITY
		// A task that is larger than that by itself may still have a worker without other such work.
		const most = Math.max(option.account.capacity.cpu * (1 - SHARE), cpu)
		return Math.floor((most - ordinary) / cpu)
	}

	private isInDemand({ view }: Option): boolean {
		const use = this.uses.get(view.worker.service)
		return use !== undefined && use.reserved >= use.capacity * IN_DEMAND
	}
}
