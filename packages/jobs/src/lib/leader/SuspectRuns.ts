/**
 * Runs that take room which the ledger does not count: given up although they may still be there or may yet
 * begin by a late order, or found on a worker that should not have them. The worker is told to stop them,
 * and gets nothing new before it has.
 */
import type { LeaderContext } from './LeaderContext'
import type { ListedRun } from './ports'
import type { WorkerView } from './WorkerView'

/**
 * Settles what suspect workers still run.
 *
 * @internal
 */
export class SuspectRuns {
	/**
	 * @param context - what the parts of the leader share.
	 * @param unanswered - told of a stop that got no answer.
	 */
	constructor(
		private readonly context: LeaderContext,
		private readonly unanswered: (view: WorkerView, message: string, sentAt: number) => void
	) {}

	/** A worker has, or may have, a run that it should not have. */
	raise(view: WorkerView, task: string, attempt: number): void {
		const known = view.suspects.get(task)
		if (known && known.attempt >= attempt) return
		view.suspects.set(task, { attempt, busy: false })
	}

	/** Once a stop is acknowledged, neither the run nor a late order to start it can take room. */
	settle(view: WorkerView): void {
		const { orders, term, clock } = this.context
		for (const [task, suspect] of view.suspects) {
			if (suspect.busy || suspect.stoppedAt !== undefined) continue
			suspect.busy = true
			const sentAt = clock.now()
			orders.stop(view.worker, { task, attempt: suspect.attempt, fence: term }, (result) => {
				suspect.busy = false
				if (result.kind === 'unknown') this.unanswered(view, result.message, sentAt)
				else if (result.kind !== 'not-carried') suspect.stoppedAt = clock.now()
			})
		}
	}

	/** A run is suspect no more when a poll that was sent after the stop does not list the run. */
	drop(view: WorkerView, running: readonly ListedRun[], sentAt: number): void {
		if (view.suspects.size === 0) return
		const listed = new Set(running.map((run) => run.task))
		for (const [task, { stoppedAt }] of view.suspects) {
			const stopped = stoppedAt !== undefined && stoppedAt <= sentAt
			if (stopped && !listed.has(task)) view.suspects.delete(task)
		}
	}
}
