/**
 * Chooses the workers that a gang asks about to discover whether they may run it. The answer does
 * not change, so each worker is asked about once, and only as many as the gang is likely to need.
 */
import type { Resources } from '@rillrudder/scheduler'
import type { WorkerOption } from '../leader/steps/chooseWorkerForStep'
import type { StepWork } from '../leader/steps/StepWork'

/**
 * Free capacity to discover, as a multiple of the gang, since other steps use some of it meanwhile.
 */
const FREE_SURPLUS_FACTOR = 3
/**
 * Total capacity that allowed workers should have, as a multiple of the gang: the more of them, the
 * sooner enough are free at the same time.
 */
const TOTAL_SURPLUS_FACTOR = 6

type Amount = (option: WorkerOption) => Resources

/**
 * @param work - the gang's step.
 * @param eligible - workers with the right service and labels.
 * @param share - share of workers that the queue's policy recently allowed, from 0 to 1.
 * @param countsFree - whether the capacity that is free now counts; it does not while the gang
 * waits for earlier steps.
 * @returns ids of the workers to ask about; empty if enough workers are known to be allowed.
 * @internal
 */
export function chooseGangWorkersToAsk(
	work: StepWork,
	eligible: readonly WorkerOption[],
	share: number,
	countsFree: boolean
): string[] {
	const { advice, record } = work
	const members = record.tasks.length
	const unknown = eligible.filter(
		({ view }) => !advice.isAllowed(view.id) && !advice.isUnfit(view.id)
	)
	if (unknown.length === 0) return []
	const allowed = eligible.filter(({ view }) => advice.isAllowed(view.id))
	const free = countMembersFitting(work, allowed, freeResourcesOf)
	const freeMissing = members * FREE_SURPLUS_FACTOR - free
	const canStartNow = countsFree && free < members
	if (canStartNow && countMembersFitting(work, unknown, freeResourcesOf) * share >= freeMissing) {
		return choose(work, unknown, freeResourcesOf, share, freeMissing)
	}
	const missing =
		members * TOTAL_SURPLUS_FACTOR - countMembersFitting(work, allowed, totalResourcesOf)
	return missing > 0 ? choose(work, unknown, totalResourcesOf, share, missing) : []
}

/**
 * Chooses workers, those with the most capacity first, until they are likely to have enough
 * together.
 */
function choose(
	work: StepWork,
	unknown: readonly WorkerOption[],
	amount: Amount,
	share: number,
	wanted: number
): string[] {
	const candidates = unknown
		.map((option) => ({
			id: option.view.id,
			capacity: work.countFittingTasks(option.view.id, amount(option)),
			free: work.countFittingTasks(option.view.id, option.account.free),
		}))
		.filter(({ capacity }) => capacity > 0)
		.sort((left, right) => right.free - left.free || right.capacity - left.capacity)
	const chosen: string[] = []
	let expected = 0
	for (const { id, capacity } of candidates) {
		if (expected >= wanted) break
		expected += capacity * share
		chosen.push(id)
	}
	return chosen
}

/** @returns how many members fit on the workers, given an amount of resources on each. @internal */
export function countMembersFitting(
	work: StepWork,
	options: readonly WorkerOption[],
	amount: Amount
): number {
	return options.reduce(
		(sum, option) => sum + work.countFittingTasks(option.view.id, amount(option)),
		0
	)
}

/** @returns the free resources of a worker. @internal */
export function freeResourcesOf({ account }: WorkerOption): Resources {
	return account.free
}

function totalResourcesOf({ account }: WorkerOption): Resources {
	return account.maxCapacity
}
