/**
 * Which workers a gang asks about to learn whether they may run it. That does not change, so it is asked once for each worker; only as many
 * are asked as the gang is likely to need.
 */
import type { Resources } from '@rillrudder/scheduler'
import type { WorkerOption } from '../leader/steps/chooseWorkerForStep'
import type { StepWork } from '../leader/steps/StepWork'

/** Room that is asked for in free room as a multiple of what is wanted, since others place there meanwhile. */
const FREE_SURPLUS = 3
/** Room that allowed workers should have in all, as a multiple of the gang: the more of them, the sooner enough are free together. */
const WHOLE_SURPLUS = 6

type Amount = (option: WorkerOption) => Resources

/**
 * @param work - the gang's step.
 * @param eligible - workers of the right service and label.
 * @param share - share of workers that the queue's policy allows, from 0 to 1, as seen of late.
 * @param holdsRoom - whether the room that is free now counts; not while earlier steps are awaited.
 * @returns ids of the workers to ask about; empty when enough are known to be allowed.
 * @internal
 */
export function learnWorkers(
	work: StepWork,
	eligible: readonly WorkerOption[],
	share: number,
	holdsRoom: boolean
): string[] {
	const { advice, record } = work
	const members = record.tasks.length
	const unknown = eligible.filter(
		({ view }) => !advice.isAllowed(view.id) && !advice.isUnfit(view.id)
	)
	if (unknown.length === 0) return []
	const allowed = eligible.filter(({ view }) => advice.isAllowed(view.id))
	const free = roomIn(work, allowed, freeOf)
	const freeMissing = members * FREE_SURPLUS - free
	const mayBeginNow = holdsRoom && free < members
	if (mayBeginNow && roomIn(work, unknown, freeOf) * share >= freeMissing) {
		return choose(work, unknown, freeOf, share, freeMissing)
	}
	const missing = members * WHOLE_SURPLUS - roomIn(work, allowed, wholeOf)
	return missing > 0 ? choose(work, unknown, wholeOf, share, missing) : []
}

/** Takes workers, those with the most room first, until they are likely to have enough among them. */
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
			room: work.countFittingTasks(option.view.id, amount(option)),
			free: work.countFittingTasks(option.view.id, option.account.free),
		}))
		.filter(({ room }) => room > 0)
		.sort((left, right) => right.free - left.free || right.room - left.room)
	const chosen: string[] = []
	let expected = 0
	for (const { id, room } of candidates) {
		if (expected >= wanted) break
		expected += room * share
		chosen.push(id)
	}
	return chosen
}

/** @returns how many members have room on workers that have so much. @internal */
export function roomIn(work: StepWork, options: readonly WorkerOption[], amount: Amount): number {
	return options.reduce(
		(sum, option) => sum + work.countFittingTasks(option.view.id, amount(option)),
		0
	)
}

/** @returns what is free on a worker. @internal */
export function freeOf({ account }: WorkerOption): Resources {
	return account.free
}

function wholeOf({ account }: WorkerOption): Resources {
	return account.most
}
