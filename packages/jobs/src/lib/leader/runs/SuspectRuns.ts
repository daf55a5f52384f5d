/**
 * Runs that take room which the ledger does not count: given up although they may still be there or may yet
 * begin by a late order, or found on a worker that should not have them. The worker is told to stop them,
 * and gets nothing new before it has.
 */
import type { LeaderContext } from '../LeaderContext'
import type { ListedRun } from '../ports'
import type { AccountUsage } from '../../accounts/AccountUsage'
import type { SuspectRun, WorkerView } from '../workers/WorkerView'

/**
 * Settles what suspect workers still run.
 *
 * @internal
 */
export class SuspectRuns {
	/**
	 * @param context - what the parts of the leader share.
	 * @param accounts - where what they take counts until they are gone.
	 * @param unanswered - told of a stop that got no answer.
	 */
	constructor(
		private readonly context: LeaderContext,
		private readonly accounts: AccountUsage,
		private readonly unanswered: (view: WorkerView, message: string, sentAt: number) => void
	) {}

	/** A worker has, or may have, a run that it should not have. */
	raise(view: WorkerView, task: string, attempt: number): void {
		const known = view.suspects.get(task)
		if (known && known.attempt >= attempt) return
		if (known) uncount(known)
		const counted = this.accounts.countGivenUp(this.context.state.jobs.locate(task))
		view.suspects.set(task, { attempt, counted, busy: false })
	}

	/** Once a stop is acknowledged, neither the run nor a late order to start it can take room. */
	settle(view: WorkerView): void {
		const { orders, clock } = this.context
		const { fence } = view
		if (view.givenUp) return
		for (const [task, suspect] of view.suspects) {
			if (suspect.busy || suspect.stoppedAt !== undefined) continue
			suspect.busy = true
			const sentAt = clock.now()
			orders.stop(view.worker, { task, attempt: suspect.attempt, fence }, (result) => {
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
		for (const [task, suspect] of view.suspects) {
			const { stoppedAt } = suspect
			const stopped = stoppedAt !== undefined && stoppedAt <= sentAt
			if (!stopped || listed.has(task)) continue
			uncount(suspect)
			view.suspects.delete(task)
		}
	}

	/** Its worker has ended, or its lease is certainly over: none of its runs goes on. */
	clear(view: WorkerView): void {
		for (const suspect of view.suspects.values()) uncount(suspect)
		view.suspects.clear()
	}
}

function uncount({ counted }: SuspectRun): void {
	counted?.account.subtractUsage(counted.amount)
}
