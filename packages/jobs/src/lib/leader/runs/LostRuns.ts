/** Gives up the runs of workers that have fallen silent, so that they may begin elsewhere. */
import { RunEnd } from '../../records/Job'
import { epochTimeOf, type LeaderContext } from '../LeaderContext'
import { LeaderEvent } from '../LeaderEvent'
import type { SuspectRuns } from './SuspectRuns'
import type { Run } from './Run'
import type { WorkerLosses } from '../workers/WorkerLosses'
import type { WorkerView } from '../workers/WorkerView'

/**
 * Milliseconds from when a worker was found unreachable to when runs that may have copies begin elsewhere. It is
 * asked at once, and a single lost answer is no reason to run anything twice.
 */
const COPY_PATIENCE = 300

/**
 * Gives up runs.
 *
 * @internal
 */
export class LostRuns {
	constructor(
		private readonly context: LeaderContext,
		private readonly suspects: SuspectRuns,
		private readonly losses: WorkerLosses
	) {}

	/** The lease of a silent worker is certainly over: nothing runs there any more. */
	giveUp(view: WorkerView): void {
		this.suspects.clear(view)
		this.lose(view, [...view.runs.values()], 'lease over')
	}

	/** Of steps that allow copies a run begins elsewhere at once; this one may go on meanwhile. */
	giveUpCopies(view: WorkerView, now: number): void {
		if (now - view.lostAt < COPY_PATIENCE) return
		const copies = [...view.runs.values()].filter((run) => run.step.copies)
		for (const { text, attempt } of copies) this.suspects.raise(view, text, attempt)
		this.lose(view, copies, 'copies allowed')
	}

	private lose(view: WorkerView, lost: readonly Run[], reason: string): void {
		if (lost.length === 0) return
		view.gaveUpAt = this.context.clock.now()
		const evidenceOf = this.losses.evidenceOn(view)
		const runs = lost.map((run) => ({
			task: run.text,
			attempt: run.attempt,
			how: RunEnd.Lost,
			checkpoint: run.checkpoint,
			evidence: evidenceOf(run),
		}))
		this.context.log.warn(LeaderEvent.RunsLost, { worker: view.id, runs: runs.length, reason })
		for (const run of lost) {
			view.runs.delete(run.text)
			// The worker may answer again before this is committed; the run must not be ordered there then.
			run.retryAt = Number.POSITIVE_INFINITY
		}
		this.context.proposals.propose({ kind: 'end', runs, at: epochTimeOf(this.context) })
	}
}
