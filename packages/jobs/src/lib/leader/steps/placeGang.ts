/** Places all tasks of a gang or none, in one rack where that matters. */
import type { Ledger } from '@rillrudder/scheduler'
import type { WorkerOption } from './chooseWorkerForStep'
import { tryClaim, releaseClaim } from './resourceClaim'
import type { StepWork } from './StepWork'

/** Milliseconds that a gang waits for one rack with room before it takes any workers. */
const RACK_WAIT_MS = 1500

/** A task and the worker it goes to. @internal */
export interface PlacedTask {
	readonly index: number
	readonly worker: string
}

/** Chooses the worker for a task of a step, by its index; undefined for none. @internal */
export type TaskChooser = (
	index: number,
	options: readonly WorkerOption[]
) => WorkerOption | undefined

/**
 * @param work - the gang's step.
 * @param waiting - indexes of its tasks that wait; a gang begins only when all of them do.
 * @param options - workers that may run it.
 * @param ledger - where room is reserved.
 * @param choose - chooses the worker for a task.
 * @param now - the moment, on the leader's clock.
 * @returns where all tasks go, with their room reserved; empty when they do not fit.
 * @internal
 */
export function placeGang(
	work: StepWork,
	waiting: readonly number[],
	options: readonly WorkerOption[],
	ledger: Ledger,
	choose: TaskChooser,
	now: number
): PlacedTask[] {
	if (waiting.length !== work.record.tasks.length) return []
	if (work.step.sameRack) {
		for (const rack of new Set(options.map(({ account }) => account.rack))) {
			const inRack = options.filter(({ account }) => account.rack === rack)
			const placed = placeAll(work, waiting, inRack, ledger, choose)
			if (placed.length > 0) return placed
		}
		if (work.getWaitTime(now) < RACK_WAIT_MS) return []
	}
	return placeAll(work, waiting, options, ledger, choose)
}

function placeAll(
	work: StepWork,
	waiting: readonly number[],
	options: readonly WorkerOption[],
	ledger: Ledger,
	choose: TaskChooser
): PlacedTask[] {
	const placed: PlacedTask[] = []
	for (const index of waiting) {
		const option = choose(index, options)
		if (!option || !tryClaim(ledger, option.view.id, work)) {
			releaseAll(work, placed, ledger)
			return []
		}
		work.adjustTaskCount(option.view.id, 1)
		placed.push({ index, worker: option.view.id })
	}
	return placed
}

function releaseAll(work: StepWork, placed: readonly PlacedTask[], ledger: Ledger): void {
	for (const { worker } of placed) {
		releaseClaim(ledger, worker, work)
		work.adjustTaskCount(worker, -1)
	}
}
