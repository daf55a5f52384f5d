/** Chooses the worker for a task of a step among those that may run it. */
import { fits, type LedgerWorker } from '@rillrudder/scheduler'
import type { StepWork } from './StepWork'
import type { WorkerView } from '../workers/WorkerView'
import { speedScoreOf } from '../../speeds/speedFit'

/** Added if the worker is in another rack than the data: such a run takes half as long again. */
const FAR_PENALTY = 2
/** Added for each sibling on the worker, where tasks of a step should be spread. */
const SIBLING_PENALTY = 1
/** Added where best-effort work would share a worker with work that has a latency target. */
const INTERFERENCE_PENALTY = 3
/**
 * Added for each run of the step that failed there: a worker that fails every run looks idle, and a
 * task that fails there again may use up its attempts.
 */
const FAILED_PENALTY = 6
/** Weight of the imbalance between the processor and memory shares left free. */
const IMBALANCE_WEIGHT = 0.5
/**
 * Weight of the share of a worker's accelerators left free. Accelerators are the scarcest resource,
 * and tasks that need many on one worker can be placed only if tasks that need few are packed
 * together.
 */
const ACCELERATOR_WEIGHT = 2

/** A worker with its ledger account. @internal */
export interface WorkerOption {
	readonly view: WorkerView
	readonly account: LedgerWorker
}

/** @returns whether a worker has capacity for one more task of the step. @internal */
export function hasCapacity(work: StepWork, { view, account }: WorkerOption): boolean {
	return fits(work.need, account.free) && work.getAllowance(view.id) > 0
}

/**
 * Checks whether a task of a step may start on a worker beside what is reserved there for others.
 *
 * @internal
 */
export type CapacityCheck = (work: StepWork, option: WorkerOption) => boolean

/**
 * @param work - the step.
 * @param options - workers that may run it.
 * @param isFree - whether capacity of a worker is not reserved for more urgent steps.
 * @param epoch - the current time, in milliseconds since the epoch.
 * @returns the best worker with capacity; undefined if there is none.
 * @internal
 */
export function chooseWorkerForStep(
	work: StepWork,
	options: readonly WorkerOption[],
	isFree: CapacityCheck,
	epoch: number
): WorkerOption | undefined {
	let best: WorkerOption | undefined
	let bestScore = Number.POSITIVE_INFINITY
	for (const option of options) {
		if (!hasCapacity(work, option)) continue
		const value = score(work, option) + speedScoreOf(work, option.view.speed, epoch)
		if (value >= bestScore || !isFree(work, option)) continue
		bestScore = value
		best = option
	}
	return best
}

function score(work: StepWork, { view, account }: WorkerOption): number {
	const { step, need } = work
	const { free, capacity } = account
	const cpu = (free.cpu - need.cpu) / Math.max(1, capacity.cpu)
	const memory = (free.memory - need.memory) / Math.max(1, capacity.memory)
	let value = cpu + memory + Math.abs(cpu - memory) * IMBALANCE_WEIGHT
	const accelerators = free.accelerators - need.accelerators
	value += (accelerators / Math.max(1, capacity.accelerators)) * ACCELERATOR_WEIGHT
	if (step.rack !== '' && step.rack !== account.rack) value += FAR_PENALTY
	if (step.lasting) value += (work.taskCountByWorker.get(view.id) ?? 0) * SIBLING_PENALTY
	value += (work.failureCountByWorker.get(view.id) ?? 0) * FAILED_PENALTY
	if (interferes(work, view)) value += INTERFERENCE_PENALTY
	return value
}

function interferes(work: StepWork, view: WorkerView): boolean {
	const { bestEffort, latencyTarget } = work.step
	if (!bestEffort && latencyTarget === 0) return false
	for (const { step } of view.runs.values()) {
		if (bestEffort && step.latencyTarget > 0) return true
		if (latencyTarget > 0 && step.bestEffort) return true
	}
	return false
}
