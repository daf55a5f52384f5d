/**
 * Finds workers on which runs stand still although the workers answer, by the progress that they report. Such a worker
 * gets nothing new for a while, and what stands still there begins elsewhere.
 *
 * Runs that only get on slowly are left alone: declared times are so far off that on a calm day one worker in two
 * seemed slow at some moment (see docs/POLICY.md).
 */
import type { Run } from '../leader/runs/Run'
import { isWorkerSpeedSample } from '../leader/runs/isWorkerSpeedSample'
import type { WorkerView } from '../leader/workers/WorkerView'

/**
 * Milliseconds without progress after which a run counts as standing, at least: a poll and a half, or one reading in
 * which nothing has moved where polls wait longer.
 */
const MIN_STALL_MS = 750
/** The same as a share of the declared time: progress is told in whole percents. */
const STALL_TIME_SHARE = 0.2
/** Share of a worker's runs that must stand before the worker is the cause. */
const MIN_STALLED_RUN_SHARE = 0.5
/** Share of all workers that may be closed at a time; with more of them the cause is not theirs. */
const MAX_CLOSED_WORKER_SHARE = 0.25
/** Milliseconds for which a worker stays closed after a run was last seen to stand there. */
const CLOSED_FOR_MS = 1500
/** Attempts up to which a run may be moved, so that none is moved again and again. */
const MAX_MOVED_ATTEMPT = 3

/**
 * Watches whether runs get on.
 *
 * @internal
 */
export class StallDetector {
	/** Until when workers stay closed, on the leader's clock. */
	private readonly closedUntil = new Map<string, number>()

	/** @returns whether runs were seen to stand still on a worker of late. */
	isStalled(worker: string, now: number): boolean {
		return (this.closedUntil.get(worker) ?? 0) > now
	}

	/** Forgets a worker that has ended. */
	forget(worker: string): void {
		this.closedUntil.delete(worker)
	}

	/**
	 * Judges a worker that has just been read.
	 *
	 * @param workers - how many workers there are.
	 * @returns whether it was found to stand still, and was not known to.
	 */
	update(view: WorkerView, workers: number, now: number): boolean {
		const judgeable = [...view.runs.values()].filter(isWorkerSpeedSample)
		const stalled = judgeable.filter(isStalledRun)
		if (stalled.length === 0 || stalled.length < judgeable.length * MIN_STALLED_RUN_SHARE)
			return false
		const wasStalled = this.isStalled(view.id, now)
		if (!wasStalled && this.countClosed(now) >= Math.max(1, workers * MAX_CLOSED_WORKER_SHARE))
			return false
		this.closedUntil.set(view.id, now + CLOSED_FOR_MS)
		return !wasStalled
	}

	/** @returns the runs of a worker that stand still and may begin elsewhere. */
	getRunsToMove(view: WorkerView): Run[] {
		return [...view.runs.values()].filter(
			(run) => isWorkerSpeedSample(run) && isStalledRun(run) && run.attempt <= MAX_MOVED_ATTEMPT
		)
	}

	private countClosed(now: number): number {
		let count = 0
		for (const until of this.closedUntil.values()) if (until > now) count += 1
		return count
	}
}

function isStalledRun({ progress, step }: Run): boolean {
	return progress.stalledForMs >= Math.max(MIN_STALL_MS, step.expectedTime * STALL_TIME_SHARE)
}
