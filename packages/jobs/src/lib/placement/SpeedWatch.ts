/**
 * Finds workers on which runs stand still or crawl although the workers answer, by the progress that they report. Such a
 * worker gets nothing new for a while, and what runs there is moved when it would be done sooner elsewhere.
 */
import { RunPhase, type Run } from '../leader/Run'
import { stepName } from '../leader/StepWork'
import type { WorkerView } from '../leader/WorkerView'

/** How many times what its step declares a whole run may take before it counts as crawling; declared times are off. */
const CRAWLS = 3
/** Milliseconds without progress after which a run counts as standing, at least: more than a poll and a half. */
const STANDS_AFTER = 750
/** The same as a share of the declared time: progress is told in whole percents. */
const STANDS_SHARE = 0.2
/** Share of a worker's runs that must stand or crawl before the worker is the cause. */
const MOST_RUNS = 0.5
/** Steps of which runs must crawl before the worker is the cause: all runs of a step share a wrong declared time. */
const LEAST_STEPS = 2
/** Share of all workers that may be held for slow; with more of them the cause is not theirs. */
const MOST_WORKERS = 0.25
/** Milliseconds for which a worker stays closed after it was last seen to be slow. */
const CLOSED_FOR = 1500
/** Milliseconds that a move takes: the stop, the commit of its end, the start, and the restore of a checkpoint. */
const MOVE_SPAN = 1000
/** How many times as long as elsewhere a run must still take here to be moved. */
const MOVE_GAIN = 1.5
/** Attempts up to which a run may be moved: declared times may be far off, and a task must end all the same. */
const LAST_MOVED_ATTEMPT = 3
/** Percent of a whole task. */
const WHOLE = 100

/**
 * Watches how fast runs get on.
 *
 * @internal
 */
export class SpeedWatch {
	/** Until when slow workers stay closed, on the leader's clock. */
	private readonly closed = new Map<string, number>()

	/** @returns whether a worker was seen to be slow of late. */
	isSlow(worker: string, now: number): boolean {
		return (this.closed.get(worker) ?? 0) > now
	}

	/** Forgets a worker that has ended. */
	forget(worker: string): void {
		this.closed.delete(worker)
	}

	/**
	 * Judges a worker that has just been read.
	 *
	 * @param workers - how many workers there are.
	 * @returns whether it was found slow, and was not known to be.
	 */
	judge(view: WorkerView, workers: number, now: number): boolean {
		const judged = [...view.runs.values()].filter(isJudged)
		const slow = judged.filter(isSlowRun)
		if (slow.length === 0 || slow.length < judged.length * MOST_RUNS) return false
		if (!slow.some(isStanding) && countSteps(slow) < LEAST_STEPS) return false
		const known = this.isSlow(view.id, now)
		if (!known && this.countClosed(now) >= Math.max(1, workers * MOST_WORKERS)) return false
		this.closed.set(view.id, now + CLOSED_FOR)
		return !known
	}

	/** @returns the runs of a slow worker that would be done sooner elsewhere. */
	runsToMove(view: WorkerView): Run[] {
		return [...view.runs.values()].filter((run) => isJudged(run) && isFasterElsewhere(run))
	}

	private countClosed(now: number): number {
		let count = 0
		for (const until of this.closed.values()) if (until > now) count += 1
		return count
	}
}

/** Whether a run's progress tells of its worker: not that of one which was slowed down, or waits for others. */
function isJudged({ phase, step, pace, progress }: Run): boolean {
	if (phase !== RunPhase.Running || step.lasting || step.bestEffort || pace < WHOLE) return false
	if (step.expectedTime <= 0) return false
	return !step.gang || progress.hasMoved
}

function countSteps(runs: readonly Run[]): number {
	return new Set(runs.map(({ name }) => stepName(name.job, name.repeat, name.step))).size
}

function isStanding({ progress, step }: Run): boolean {
	return progress.stoodStillFor >= Math.max(STANDS_AFTER, step.expectedTime * STANDS_SHARE)
}

function isSlowRun(run: Run): boolean {
	const { progress, step } = run
	return isStanding(run) || (progress.observed ?? 0) > step.expectedTime * CRAWLS
}

function isFasterElsewhere(run: Run): boolean {
	const { step, progress } = run
	if (run.attempt > LAST_MOVED_ATTEMPT) return false
	if (step.gang && !step.checkpoints) return false
	if (!isSlowRun(run)) return false
	const left = (WHOLE - progress.percent) / WHOLE
	const elsewhere = MOVE_SPAN + step.expectedTime * (step.checkpoints ? left : 1)
	const here = isStanding(run) ? Number.POSITIVE_INFINITY : left * (progress.observed ?? 0)
	return here > elsewhere * MOVE_GAIN
}
