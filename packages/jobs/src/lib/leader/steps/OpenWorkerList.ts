/** The workers to which new work may go, with their accounts. */
import type { LeaderContext } from '../LeaderContext'
import type { WorkerRegistry } from '../workers/WorkerRegistry'
import type { WorkerView } from '../workers/WorkerView'
import type { WorkerOption } from './chooseWorkerForStep'
import type { OpenWorkers } from './PlacementPass'

/** Workers up to which each pass lists them anew; beyond, the listing of the last full pass serves until the next one. */
const MAX_LISTED_EACH_PASS = 500

/**
 * The open workers. Listing them looks at each; where there are thousands, passes between two full ones work on the last listing, so whoever
 * chooses a worker from it asks whether it is still open.
 *
 * @internal
 */
export class OpenWorkerList implements OpenWorkers {
	private listed: readonly WorkerOption[] | undefined

	constructor(
		private readonly context: Pick<LeaderContext, 'ledger'>,
		private readonly workers: Pick<WorkerRegistry, 'all' | 'find' | 'isOpen' | 'size'>
	) {}

	/** The next question for all workers lists them anew. */
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

	/** @returns whether a worker that was listed still takes new work. */
	isOpen({ view }: WorkerOption): boolean {
		return this.workers.find(view.id) === view && this.workers.isOpen(view)
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
