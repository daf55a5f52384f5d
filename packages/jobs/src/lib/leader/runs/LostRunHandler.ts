/** Abandons the runs of unreachable workers, so that their tasks can start elsewhere. */
import { RunEnd } from '../../records/Job'
import { epochTimeOf, type LeaderContext } from '../LeaderContext'
import { LeaderEvent } from '../LeaderEvent'
import type { SuspectRuns } from './SuspectRuns'
import type { Run } from './Run'
import type { WorkerLosses } from '../workers/WorkerLosses'
import type { WorkerView } from '../workers/WorkerView'

/**
 * Milliseconds from when a worker became unreachable until tasks that may have several concurrent
 * runs are started elsewhere. The worker is probed at once, and a single lost answer is no reason
 * to run a task twice.
 */
const COPY_DELAY_MS = 300

/**
 * Proposes the end of runs whose worker is unreachable.
 *
 * @internal
 */
export class LostRunHandler {
	constructor(
		private readonly context: LeaderContext,
		private readonly suspects: SuspectRuns,
		private readonly losses: WorkerLosses
	) {}

	/**
	 * Abandons all runs of an unreachable worker. Its lease has certainly expired: none still runs.
	 */
	abandonAll(view: WorkerView): void {
		this.suspects.clear(view)
		this.abandon(view, [...view.runs.values()], 'lease over')
	}

	/**
	 * Abandons the runs of steps that allow concurrent copies, without waiting for the lease to
	 * expire. These runs may still be running.
	 */
	abandonRepeatable(view: WorkerView, now: number): void {
		if (now - view.lostAt < COPY_DELAY_MS) return
		const copies = [...view.runs.values()].filter((run) => run.step.copies)
		for (const { taskId, attempt } of copies) this.suspects.add(view, taskId, attempt)
		this.abandon(view, copies, 'copies allowed')
	}

	private abandon(view: WorkerView, lost: readonly Run[], reason: string): void {
		if (lost.length === 0) return
		const { clock } = this.context
		view.runsAbandonedAt = clock.now()
		const evidenceOf = this.losses.evidenceFrom(view)
		const unreachableSince = epochTimeOf(this.context) - (clock.now() - view.lostAt)
		const runs = lost.map((run) => ({
			task: run.taskId,
			attempt: run.attempt,
			how: RunEnd.Lost,
			checkpoint: run.checkpoint,
			evidence: evidenceOf(run),
			unreachableSince,
		}))
		this.context.log.warn(LeaderEvent.RunsLost, { worker: view.id, runs: runs.length, reason })
		for (const run of lost) {
			view.runs.delete(run.taskId)
			// The worker may answer again before the commit; then the run must not be ordered there.
			run.retryAt = Number.POSITIVE_INFINITY
		}
		this.context.proposals.propose({ kind: 'end', runs, at: epochTimeOf(this.context) })
	}
}
