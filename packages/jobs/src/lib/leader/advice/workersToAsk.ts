/** Chooses the workers to ask about: few, since each one makes the answer later. */
import type { Resources } from '@rillrudder/scheduler'
import type { AdviceTerms } from '../../records/Cell'
import type { WorkerOption } from '../steps/chooseWorkerForStep'
import type { StepWork } from '../steps/StepWork'

/**
 * Share of its least time that an answer may take longer so that it covers all workers: a second question costs the
 * whole least time again.
 */
const ALL_AT_ONCE = 0.5
/** Room asked for as a multiple of the room wanted, since others place there meanwhile. */
const SURPLUS = 1.5
/** The same for a gang, all of which must find room at once. */
const GANG_SURPLUS = 3
/** Workers beyond that, so that bad luck does not cost another question. */
const SPARE_WORKERS = 2

/**
 * Workers among which a question looks first where there are more; with free room there it needs no look at the others. They are the same for all
 * steps: each worker that runs something is polled over connections of its own, so work stays on few workers while these have room.
 */
const LOOKED_AT_FIRST = 500

/** What a question is for. @internal */
export interface AdviceNeed {
	/** How many tasks want a place. */
	readonly tasks: number
	/** Tickets that end before this moment count as ended. */
	readonly until: number
	/** How many workers may be asked about. */
	readonly most: number
	/** Whether to ask also about workers without room now, so that it can be used once it is there. */
	readonly ahead: boolean
	/** Whether tickets that run out are to be renewed; not while room is expected only later. */
	readonly renew: boolean
	/** Share of workers that the queue's policy allows, from 0 to 1, as seen of late. */
	readonly share: number
	/** What an answer costs. */
	readonly terms: AdviceTerms
}

interface Candidate {
	readonly option: WorkerOption
	/** Tasks of the step that it can take. */
	readonly room: number
}

interface Choice {
	/** Ids of the workers. */
	readonly workers: string[]
	/** Whether they are likely to have as much room as is wanted. */
	readonly isEnough: boolean
}

/**
 * @param work - the step.
 * @param eligible - workers of the right service and label.
 * @param need - what the question is for.
 * @returns ids of the workers to ask about; empty when asking would not help.
 * @internal
 */
export function workersToAsk(
	work: StepWork,
	eligible: readonly WorkerOption[],
	need: AdviceNeed
): string[] {
	const { advice } = work
	if (eligible.length > LOOKED_AT_FIRST) {
		const first = usefulAmong(work, eligible.slice(0, LOOKED_AT_FIRST), need)
		const choice = pick(work, candidates(work, first, freeOf), need, 0)
		if (choice.isEnough) return choice.workers
	}
	const useful = usefulAmong(work, eligible, need)
	const { workers: now } = pick(work, candidates(work, useful, freeOf), need, 0)
	if (now.length > 0 && coversAllCheaply(useful.length, need)) {
		return candidates(work, useful, capacityOf).map(({ option }) => option.view.id)
	}
	if (now.length > 0 || !need.ahead) return now
	const covered = eligible
		.filter(({ view }) => advice.ticket(view.id, need.until) !== undefined)
		.reduce((sum, option) => sum + work.countFittingTasks(option.view.id, capacityOf(option)), 0)
	return pick(work, candidates(work, useful, capacityOf), need, covered).workers
}

/** Workers of which an answer would bring something: not known yet, or allowed with a ticket that runs out. */
function usefulAmong(
	{ advice }: StepWork,
	options: readonly WorkerOption[],
	{ renew, until }: AdviceNeed
): WorkerOption[] {
	return options.filter(({ view: { id } }) =>
		advice.isAllowed(id) ? renew && advice.ticket(id, until) === undefined : !advice.isUnfit(id)
	)
}

function coversAllCheaply(workers: number, { terms, most }: AdviceNeed): boolean {
	return workers <= most && terms.each * workers <= terms.base * ALL_AT_ONCE
}

function candidates(
	work: StepWork,
	options: readonly WorkerOption[],
	amount: (option: WorkerOption) => Resources
): Candidate[] {
	return options
		.map((option) => ({ option, room: work.countFittingTasks(option.view.id, amount(option)) }))
		.filter(({ room }) => room > 0)
		.sort((left, right) => right.room - left.room)
}

/** Takes workers until they are likely to have enough room among them. */
function pick(
	work: StepWork,
	from: readonly Candidate[],
	need: AdviceNeed,
	covered: number
): Choice {
	const wanted = need.tasks * (work.step.gang ? GANG_SURPLUS : SURPLUS)
	const chosen: string[] = []
	let expected = covered
	let spare = covered >= wanted ? 0 : SPARE_WORKERS
	for (const { option, room } of from) {
		const { id } = option.view
		if (chosen.length >= need.most) break
		if (expected >= wanted && spare-- <= 0) break
		expected += room * (work.advice.isAllowed(id) ? 1 : need.share)
		chosen.push(id)
	}
	return { workers: chosen, isEnough: expected >= wanted }
}

function freeOf({ account }: WorkerOption): Resources {
	return account.free
}

function capacityOf({ account }: WorkerOption): Resources {
	return account.most
}
