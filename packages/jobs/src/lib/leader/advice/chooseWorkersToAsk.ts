/** Chooses the workers to ask about: few, since each one delays the answer. */
import type { Resources } from '@rillrudder/scheduler'
import type { AdviceTerms } from '../../records/Cell'
import type { WorkerOption } from '../steps/chooseWorkerForStep'
import type { StepWork } from '../steps/StepWork'

/**
 * Share of the base time by which an answer may take longer to cover all workers. A second question
 * would cost the whole base time again.
 */
const ALL_WORKERS_SHARE = 0.5
/** Capacity to ask for, as a multiple of the need, since other steps use some of it meanwhile. */
const SURPLUS_FACTOR = 1.5
/** The same for a gang, whose members all need capacity at the same time. */
const GANG_SURPLUS_FACTOR = 3
/** Workers beyond that, so that a few unexpected refusals do not cost another question. */
const SPARE_WORKERS = 2

/**
 * Number of workers that are considered first; the others are considered only if these have too
 * little free capacity. They are the same for all steps, so that work stays on few workers while
 * these have capacity: each worker that runs something is polled over its own connections.
 */
const FIRST_CANDIDATES = 500

/** The requirements of a question. @internal */
export interface AdviceNeed {
	/** The number of tasks to place. */
	readonly tasks: number
	/** Tickets that expire before this moment, on the leader's clock, count as expired. */
	readonly until: number
	/** The maximum number of workers to ask about. */
	readonly most: number
	/** Whether to ask about workers without free capacity too, to use it as soon as it is freed. */
	readonly ahead: boolean
	/** Whether to renew expiring tickets; not while capacity is expected only later. */
	readonly renew: boolean
	/** Share of workers that the queue's policy recently allowed, from 0 to 1. */
	readonly share: number
	/** The time that an answer takes. */
	readonly terms: AdviceTerms
}

interface Candidate {
	readonly option: WorkerOption
	/** Number of tasks of the step that fit on the worker. */
	readonly capacity: number
}

interface Choice {
	/** Ids of the workers. */
	readonly workers: string[]
	/** Whether they are likely to have the capacity that is needed. */
	readonly isEnough: boolean
}

/**
 * @param work - the step.
 * @param eligible - workers with the right service and labels.
 * @param need - the requirements of the question.
 * @returns ids of the workers to ask about; empty if asking would not help.
 * @internal
 */
export function chooseWorkersToAsk(
	work: StepWork,
	eligible: readonly WorkerOption[],
	need: AdviceNeed
): string[] {
	const { advice } = work
	if (eligible.length > FIRST_CANDIDATES) {
		const first = usefulAmong(work, eligible.slice(0, FIRST_CANDIDATES), need)
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
		.filter(({ view }) => advice.ticketOf(view.id, need.until) !== undefined)
		.reduce((sum, option) => sum + work.countFittingTasks(option.view.id, capacityOf(option)), 0)
	return pick(work, candidates(work, useful, capacityOf), need, covered).workers
}

/**
 * @returns the workers about which an answer is useful: unknown ones, and allowed ones with an
 * expiring ticket.
 */
function usefulAmong(
	{ advice }: StepWork,
	options: readonly WorkerOption[],
	{ renew, until }: AdviceNeed
): WorkerOption[] {
	return options.filter(({ view: { id } }) =>
		advice.isAllowed(id) ? renew && advice.ticketOf(id, until) === undefined : !advice.isUnfit(id)
	)
}

function coversAllCheaply(workers: number, { terms, most }: AdviceNeed): boolean {
	return workers <= most && terms.each * workers <= terms.base * ALL_WORKERS_SHARE
}

function candidates(
	work: StepWork,
	options: readonly WorkerOption[],
	amount: (option: WorkerOption) => Resources
): Candidate[] {
	return options
		.map((option) => ({ option, capacity: work.countFittingTasks(option.view.id, amount(option)) }))
		.filter(({ capacity }) => capacity > 0)
		.sort((left, right) => right.capacity - left.capacity)
}

/** Chooses workers until they are likely to have enough capacity together. */
function pick(
	work: StepWork,
	from: readonly Candidate[],
	need: AdviceNeed,
	covered: number
): Choice {
	const wanted = need.tasks * (work.step.gang ? GANG_SURPLUS_FACTOR : SURPLUS_FACTOR)
	const chosen: string[] = []
	let expected = covered
	let spare = covered >= wanted ? 0 : SPARE_WORKERS
	for (const { option, capacity } of from) {
		const { id } = option.view
		if (chosen.length >= need.most) break
		if (expected >= wanted && spare-- <= 0) break
		expected += capacity * (work.advice.isAllowed(id) ? 1 : need.share)
		chosen.push(id)
	}
	return { workers: chosen, isEnough: expected >= wanted }
}

function freeOf({ account }: WorkerOption): Resources {
	return account.free
}

function capacityOf({ account }: WorkerOption): Resources {
	return account.maxCapacity
}
