/** Chooses the workers to ask about: few, since each one makes the answer later. */
import { fits, type Resources } from '@rillrudder/scheduler'
import type { Option } from './chooseForStep'
import type { StepWork } from './StepWork'

/** Share of workers that may run a step, until something is known of the step. */
const ASSUMED_GOOD = 0.35
/** Room asked for as a multiple of the room wanted, since others place there meanwhile. */
const SURPLUS = 1.5
/** The same for a gang, all of which must find room at once. */
const GANG_SURPLUS = 3
/** Workers beyond that, so that bad luck does not cost another question. */
const SPARE_WORKERS = 2

/**
 * @param work - the step.
 * @param eligible - workers of the right service and label.
 * @param tasks - how many tasks want a place.
 * @param until - tickets that end before count as ended.
 * @param most - how many workers may be asked about.
 * @returns ids of the workers to ask about; empty when asking would not help.
 * @internal
 */
export function workersToAsk(
	work: StepWork,
	eligible: readonly Option[],
	tasks: number,
	until: number,
	most: number
): string[] {
	const { advice } = work
	const useful = eligible.filter(
		({ view }) => !advice.isUnfit(view.id) && advice.ticket(view.id, until) === undefined
	)
	const withRoom = useful
		.map((option) => ({ option, room: roomFor(work, option) }))
		.filter(({ room }) => room > 0)
		.sort((left, right) => right.room - left.room)
	const chosen: string[] = []
	const wanted = tasks * (work.step.gang ? GANG_SURPLUS : SURPLUS)
	let expected = 0
	let spare = SPARE_WORKERS
	for (const { option, room } of withRoom) {
		const { id } = option.view
		if (chosen.length >= most) break
		if (expected >= wanted && spare-- <= 0) break
		expected += room * (advice.isAllowed(id) ? 1 : ASSUMED_GOOD)
		chosen.push(id)
	}
	return chosen
}

/** How many tasks of the step the worker has room for. */
function roomFor(work: StepWork, { view, account }: Option): number {
	const allowance = work.allowance(view.id)
	if (allowance <= 0 || !fits(work.need, account.free)) return 0
	return Math.min(allowance, copiesIn(work.need, account.free))
}

function copiesIn(need: Resources, free: Resources): number {
	const cpu = need.cpu > 0 ? free.cpu / need.cpu : Number.POSITIVE_INFINITY
	const memory = need.memory > 0 ? free.memory / need.memory : Number.POSITIVE_INFINITY
	return Math.max(1, Math.floor(Math.min(cpu, memory, Number.MAX_SAFE_INTEGER)))
}
