/**
 * Chooses runs of lower priority to stop so that tasks of the highest priority can start. Only runs
 * that resume from a checkpoint are chosen, so that little work is lost.
 */
import { plus, type Resources } from '@rillrudder/scheduler'
import type { WorkerOption } from './chooseWorkerForStep'
import { RunPhase, slackOf, type Run } from '../runs/Run'
import type { StepWork } from './StepWork'

/** Progress in percent from which a run is not preempted, since it ends soon anyway. */
const NEARLY_DONE_PERCENT = 85
/**
 * Least slack in milliseconds of a job whose run may be preempted: time for the stop, the wait for
 * capacity and the restart.
 */
const MIN_SLACK_MS = 2000
/** Highest attempt whose run may be preempted, so that no task is preempted over and over. */
const MAX_PREEMPTED_ATTEMPT = 3
/** Most runs that are stopped for one step at a time. */
const MAX_STOPS_PER_STEP = 8

/** A worker with its free capacity, including that of runs being stopped. */
interface PreemptionCandidate {
	readonly option: WorkerOption
	free: Resources
	/** Runs that may be preempted, the smallest first. */
	readonly preemptible: Run[]
}

/**
 * @param work - an urgent step.
 * @param options - workers that may run it now.
 * @param tasks - how many of its tasks could not be placed.
 * @param epoch - the current time, in milliseconds since the epoch.
 * @returns runs to stop; empty if stopping would not help, or if enough capacity is being freed
 * already.
 * @internal
 */
export function chooseRunsToPreempt(
	work: StepWork,
	options: readonly WorkerOption[],
	tasks: number,
	epoch: number
): Run[] {
	const candidates = options
		.filter(({ view }) => work.getAllowance(view.id) > 0)
		.map((option) => toCandidate(option, epoch))
	let missing = tasks
	for (const { free, option } of candidates) missing -= work.countFittingTasks(option.view.id, free)
	const chosen: Run[] = []
	while (missing > 0 && chosen.length < MAX_STOPS_PER_STEP) {
		const best = takeCheapestRun(work, candidates)
		if (!best) break
		missing -= best.gained
		chosen.push(best.run)
	}
	return chosen
}

function toCandidate(option: WorkerOption, epoch: number): PreemptionCandidate {
	let free = option.account.free
	const preemptible: Run[] = []
	for (const run of option.view.runs.values()) {
		const stopping = run.phase === RunPhase.Stopping || run.phase === RunPhase.Stopped
		if (stopping) free = plus(free, run.need)
		else if (isPreemptible(run, epoch)) preemptible.push(run)
	}
	preemptible.sort((left, right) => left.need.cpu - right.need.cpu)
	return { option, free, preemptible }
}

function isPreemptible(run: Run, epoch: number): boolean {
	const { yields, phase, percent, step, attempt } = run
	const resumes = step.checkpoints && !step.gang && attempt <= MAX_PREEMPTED_ATTEMPT
	if (!yields || !resumes || phase !== RunPhase.Running || percent >= NEARLY_DONE_PERCENT)
		return false
	return slackOf(run, epoch) >= MIN_SLACK_MS
}

/**
 * Takes the run whose stop lets at least one more task fit at the least processor capacity per
 * task.
 */
function takeCheapestRun(
	work: StepWork,
	candidates: readonly PreemptionCandidate[]
): { run: Run; gained: number } | undefined {
	let best: { candidate: PreemptionCandidate; run: Run; gained: number } | undefined
	for (const candidate of candidates) {
		const { id } = candidate.option.view
		const before = work.countFittingTasks(id, candidate.free)
		for (const run of candidate.preemptible) {
			const gained = work.countFittingTasks(id, plus(candidate.free, run.need)) - before
			if (gained === 0) continue
			if (!best || run.need.cpu / gained < best.run.need.cpu / best.gained) {
				best = { candidate, run, gained }
			}
			break
		}
	}
	if (!best) return undefined
	const { candidate, run, gained } = best
	candidate.free = plus(candidate.free, run.need)
	candidate.preemptible.splice(candidate.preemptible.indexOf(run), 1)
	return { run, gained }
}
