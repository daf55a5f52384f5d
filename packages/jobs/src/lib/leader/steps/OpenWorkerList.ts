/** Lists the workers that accept new work, with their ledger accounts. */
import type { LeaderContext } from '../LeaderContext'
import type { WorkerRegistry } from '../workers/WorkerRegistry'
import type { WorkerView } from '../workers/WorkerView'
import type { WorkerOption } from './chooseWorkerForStep'
import type { OpenWorkers } from './PlacementPass'
import type { StepWork } from './StepWork'

/**
 * Most workers that are listed in each pass; with more of them, the list of the last full pass is
 * used until the next one.
 */
const MAX_LISTED_EACH_PASS = 500

/**
 * The open workers: those that accept new work. Listing them visits every worker. With thousands of
 * workers, the passes between two full ones therefore use the last list, and a caller that chooses
 * a worker from it checks {@link OpenWorkerList.accepts} first.
 *
 * @internal
 */
export class OpenWorkerList implements OpenWorkers {
	private listed: readonly WorkerOption[] | undefined

	constructor(
		private readonly context: Pick<LeaderContext, 'ledger' | 'health'>,
		private readonly workers: Pick<WorkerRegistry, 'all' | 'find' | 'isOpen' | 'canProbe' | 'size'>
	) {}

	/** Discards the list, so that the next call of {@link OpenWorkerList.all} builds a new one. */
	invalidate(): void {
		this.listed = undefined
	}

	all(): readonly WorkerOption[] {
		const canReuse = this.listed && this.workers.size > MAX_LISTED_EACH_PASS
		if (!this.listed || !canReuse) this.listed = this.list()
		return this.listed
	}

	find(id: string): WorkerOption | undefined {
		const view = this.workers.find(id)
		return view && this.optionOf(view)
	}

	/**
	 * @param lasting - whether the work is a lasting task.
	 * @returns the closed workers that accept a probe by work that no open worker can run.
	 */
	probeable(lasting: boolean): WorkerOption[] {
		if (this.context.health.closed === 0) return []
		const found: WorkerOption[] = []
		for (const view of this.workers.all()) {
			const account = this.context.ledger.find(view.id)
			if (account && this.workers.canProbe(view, lasting)) found.push({ view, account })
		}
		return found
	}

	/** @returns whether a listed worker still accepts a task of a step. */
	accepts({ step }: StepWork, { view }: WorkerOption): boolean {
		if (this.workers.find(view.id) !== view) return false
		return this.workers.isOpen(view) || this.workers.canProbe(view, step.lasting)
	}

	private list(): WorkerOption[] {
		const found: WorkerOption[] = []
		for (const view of this.workers.all()) {
			const option = this.optionOf(view)
			if (option) found.push(option)
		}
		return found
	}

	private optionOf(view: WorkerView): WorkerOption | undefined {
		if (!this.workers.isOpen(view)) return undefined
		const account = this.context.ledger.find(view.id)
		return account && { view, account }
	}
}
