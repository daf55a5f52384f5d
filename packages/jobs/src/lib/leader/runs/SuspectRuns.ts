/**
 * Runs that may use resources which the ledger does not count: abandoned runs that may still be
 * running or may yet be started by a late order, and runs found on a worker that should not have
 * them. The worker is ordered to stop them, and gets no new work until it has.
 */
import type { LeaderContext } from '../LeaderContext'
import type { ListedRun } from '../ports'
import type { AccountUsage } from '../../accounts/AccountUsage'
import type { SuspectRun, WorkerView } from '../workers/WorkerView'

/**
 * Tracks suspect runs and orders their workers to stop them.
 *
 * @internal
 */
export class SuspectRuns {
	/**
	 * @param context - the context shared by the leader's components.
	 * @param accounts - quota accounts that suspect runs count against until they are gone.
	 * @param onUnanswered - callback for a stop order that got no answer.
	 */
	constructor(
		private readonly context: LeaderContext,
		private readonly accounts: AccountUsage,
		private readonly onUnanswered: (view: WorkerView, message: string, sentAt: number) => void
	) {}

	/** Adds a run that a worker has, or may have, although it should not. */
	add(view: WorkerView, task: string, attempt: number): void {
		const known = view.suspects.get(task)
		if (known && known.attempt >= attempt) return
		if (known) uncount(known)
		const counted = this.accounts.countAbandonedRun(this.context.state.jobs.locate(task))
		view.suspects.set(task, { attempt, counted, isStopping: false })
	}

	/**
	 * Orders a worker to stop its suspect runs. After the acknowledgement neither the run nor a
	 * late order to start it can use resources.
	 */
	stopAll(view: WorkerView): void {
		const { orders, clock } = this.context
		const { fence } = view
		if (view.isEnding) return
		for (const [task, suspect] of view.suspects) {
			if (suspect.isStopping || suspect.stoppedAt !== undefined) continue
			suspect.isStopping = true
			const sentAt = clock.now()
			orders.stop(view.worker, { task, attempt: suspect.attempt, fence }, (result) => {
				suspect.isStopping = false
				if (result.kind === 'unknown') this.onUnanswered(view, result.message, sentAt)
				else if (result.kind !== 'not-carried') suspect.stoppedAt = clock.now()
			})
		}
	}

	/**
	 * Removes the runs that a poll does not list which was sent after their stop was acknowledged.
	 */
	removeStopped(view: WorkerView, running: readonly ListedRun[], sentAt: number): void {
		if (view.suspects.size === 0) return
		const listed = new Set(running.map((run) => run.task))
		for (const [task, suspect] of view.suspects) {
			const { stoppedAt } = suspect
			const stopped = stoppedAt !== undefined && stoppedAt <= sentAt
			if (!stopped || listed.has(task)) continue
			uncount(suspect)
			view.suspects.delete(task)
		}
	}

	/** Removes all suspect runs of a worker that has ended or whose lease has certainly expired. */
	clear(view: WorkerView): void {
		for (const suspect of view.suspects.values()) uncount(suspect)
		view.suspects.clear()
	}
}

function uncount({ counted }: SuspectRun): void {
	counted?.account.subtractUsage(counted.amount)
}
