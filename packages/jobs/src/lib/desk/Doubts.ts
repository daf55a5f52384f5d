/**
 * Runs that take room which the ledger does not count: given up although they may still be there or may yet
 * begin by a late order, or found on a worker that should not have them. The worker is told to stop them,
 * and gets nothing new before it has.
 */
import type { DeskContext } from './DeskContext'
import type { ListedRun } from './ports'
import type { WorkerView } from './WorkerView'

/**
 * Settles doubts about what a worker still runs.
 *
 * @internal
 */
export class Doubts {
	/**
	 * @param context - the desk's surroundings.
	 * @param unanswered - told of a stop that got no answer.
	 */
	constructor(
		private readonly context: DeskContext,
		private readonly unanswered: (view: WorkerView, message: string, sentAt: number) => void
	) {}

	/** A worker has, or may have, a run that it should not have. */
	raise(view: WorkerView, task: string, attempt: number): void {
		const known = view.doubts.get(task)
		if (known && known.attempt >= attempt) return
		view.doubts.set(task, { attempt, busy: false })
	}

	/** Once a stop is acknowledged, neither the run nor a late order to start it can take room. */
	settle(view: WorkerView): void {
		const { orders, term, clock } = this.context
		for (const [task, doubt] of view.doubts) {
			if (doubt.busy || doubt.stoppedAt !== undefined) continue
			doubt.busy = true
			const sentAt = clock.now()
			orders.stop(view.worker, { task, attempt: doubt.attempt, fence: term }, (result) => {
				doubt.busy = false
				if (result.kind === 'unknown') this.unanswered(view, result.message, sentAt)
				else doubt.stoppedAt = clock.now()
			})
		}
	}

	/** A doubt is over when a look that was sent after the stop does not list the run. */
	drop(view: WorkerView, running: readonly ListedRun[], sentAt: number): void {
		if (view.doubts.size === 0) return
		const listed = new Set(running.map((run) => run.task))
		for (const [task, { stoppedAt }] of view.doubts) {
			const stopped = stoppedAt !== undefined && stoppedAt <= sentAt
			if (stopped && !listed.has(task)) view.doubts.delete(task)
		}
	}
}
