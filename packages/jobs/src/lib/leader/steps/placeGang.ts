/** Places all tasks of a gang or none, in one rack if the step asks for it. */
import type { Ledger } from '@rillrudder/scheduler'
import type { WorkerOption } from './chooseWorkerForStep'
import { tryClaim, releaseClaim } from './resourceClaim'
import type { StepWork } from './StepWork'

/**
 * Milliseconds that a gang waits for one rack with enough capacity before it accepts any workers.
 */
const RACK_WAIT_MS = 1500

/** A task and the worker that it is placed on. @internal */
export interface PlacedTask {
	readonly index: number
	readonly worker: string
}

/** Chooses the worker for a task of a step, given its index; undefined for none. @internal */
export type TaskChooser = (
	index: number,
	options: readonly WorkerOption[]
) => WorkerOption | undefined

/**
 * Places a gang.
 *
 * @param work - the step of the gang.
 * @param waiting - indexes of its waiting tasks; a gang starts only when all of its tasks wait.
 * @param options - workers that may run it.
 * @param ledger - where capacity is claimed.
 * @param choose - chooses the worker for a task.
 * @param now - the current time, on the leader's clock.
 * @returns the placed tasks, with their capacity claimed; empty when they do not all fit.
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
