/**
 * Finds workers that answer polls while their runs make no progress. Such a worker gets no new work
 * for a while, and its stalled runs are moved to other workers.
 *
 * Runs that are merely slow are left alone: declared times are so far off that even at low load
 * half of the workers appeared slow at some point (see docs/POLICY.md).
 */
import type { Run } from '../leader/runs/Run'
import { isWorkerSpeedSample } from '../leader/runs/isWorkerSpeedSample'
import type { WorkerView } from '../leader/workers/WorkerView'

/**
 * Least milliseconds without progress after which a run counts as stalled: one and a half polls, or
 * one reading without progress where polls are further apart.
 */
const MIN_STALL_MS = 750
/** The same as a share of the declared time, since progress is reported in whole percents. */
const STALL_TIME_SHARE = 0.2
/** Share of a worker's runs that must be stalled before the worker is taken as the cause. */
const MIN_STALLED_RUN_SHARE = 0.5
/** Share of all workers that may be closed at a time; if more stall, the cause lies elsewhere. */
const MAX_CLOSED_WORKER_SHARE = 0.25
/** Milliseconds for which a worker stays closed after a stalled run was last seen there. */
const CLOSED_FOR_MS = 1500
/** Highest attempt whose run may be moved, so that no task is moved over and over. */
const MAX_MOVED_ATTEMPT = 3

/**
 * Detects workers whose runs are stalled.
 *
 * @internal
 */
export class StallDetector {
	/** Until when each worker stays closed, on the leader's clock. */
	private readonly closedUntil = new Map<string, number>()

	/** @returns whether stalled runs were recently seen on a worker. */
	isStalled(worker: string, now: number): boolean {
		return (this.closedUntil.get(worker) ?? 0) > now
	}

	/** Forgets a worker whose incarnation has ended. */
	forget(worker: string): void {
		this.closedUntil.delete(worker)
	}

	/**
	 * Updates the state of a worker that was just polled.
	 *
	 * @param view - the worker.
	 * @param workers - how many workers there are.
	 * @param now - the current time, on the leader's clock.
	 * @returns whether the worker is found stalled now and was not before.
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

	/** @returns the stalled runs of a worker that may start elsewhere. */
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
