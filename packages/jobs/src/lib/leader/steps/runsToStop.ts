/**
 * Preemption: chooses runs of lower priority to stop so that tasks of the highest priority find room. Only
 * runs that go on from a checkpoint are chosen, so that little work is lost.
 */
import { plus, type Resources } from '@rillrudder/scheduler'
import type { WorkerOption } from './chooseWorkerForStep'
import { RunPhase, slackOf, type Run } from '../runs/Run'
import type { StepWork } from './StepWork'

/** Percent from which a run is left alone, since it ends soon by itself. */
const NEARLY_DONE = 85
/** Milliseconds that a job must have in hand for one of its runs to be stopped: a stop, a wait for room, a restart. */
const LEAST_SLACK = 2000
/** Attempts up to which a run may be stopped for others, so that none is stopped again and again. */
const LAST_STOPPED_ATTEMPT = 3
/** Most runs that are stopped for one step at a time. */
const MOST_STOPS = 8

/** Room that a worker has, or will have once what was told to stop there has stopped. */
interface Prospect {
	readonly option: WorkerOption
	room: Resources
	/** Runs that may be stopped, the smallest first. */
	readonly stoppable: Run[]
}

/**
 * @param work - an urgent step.
 * @param options - workers that may run it now.
 * @param tasks - how many of its tasks found no room.
 * @param epoch - now, in milliseconds since the epoch.
 * @returns runs to stop; empty when that would not help, or room is on its way already.
 * @internal
 */
export function runsToStop(
	work: StepWork,
	options: readonly WorkerOption[],
	tasks: number,
	epoch: number
): Run[] {
	const prospects = options
		.filter(({ view }) => work.getAllowance(view.id) > 0)
		.map((option) => toProspect(option, epoch))
	let missing = tasks
	for (const { room, option } of prospects) missing -= work.countFittingTasks(option.view.id, room)
	const chosen: Run[] = []
	while (missing > 0 && chosen.length < MOST_STOPS) {
		const best = cheapest(work, prospects)
		if (!best) break
		missing -= best.gained
		chosen.push(best.run)
	}
	return chosen
}

function toProspect(option: WorkerOption, epoch: number): Prospect {
	let room = option.account.free
	const stoppable: Run[] = []
	for (const run of option.view.runs.values()) {
		const stopping = run.phase === RunPhase.Stopping || run.phase === RunPhase.Stopped
		if (stopping) room = plus(room, run.need)
		else if (isStoppable(run, epoch)) stoppable.push(run)
	}
	stoppable.sort((left, right) => left.need.cpu - right.need.cpu)
	return { option, room, stoppable }
}

function isStoppable(run: Run, epoch: number): boolean {
	const { yields, phase, percent, step, attempt } = run
	const resumes = step.checkpoints && !step.gang && attempt <= LAST_STOPPED_ATTEMPT
	if (!yields || !resumes || phase !== RunPhase.Running || percent >= NEARLY_DONE) return false
	return slackOf(run, epoch) >= LEAST_SLACK
}

/** Takes the run that makes room for one more task, or for several, at the least processor time a task. */
function cheapest(
	work: StepWork,
	prospects: readonly Prospect[]
): { run: Run; gained: number } | undefined {
	let best: { prospect: Prospect; run: Run; gained: number } | undefined
	for (const prospect of prospects) {
		const { id } = prospect.option.view
		const before = work.countFittingTasks(id, prospect.room)
		for (const run of prospect.stoppable) {
			const gained = work.countFittingTasks(id, plus(prospect.room, run.need)) - before
			if (gained === 0) continue
			if (!best || run.need.cpu / gained < best.run.need.cpu / best.gained) {
				best = { prospect, run, gained }
			}
			break
		}
	}
	if (!best) return undefined
	const { prospect, run, gained } = best
	prospect.room = plus(prospect.room, run.need)
	prospect.stoppable.splice(prospect.stoppable.indexOf(run), 1)
	return { run, gained }
}
