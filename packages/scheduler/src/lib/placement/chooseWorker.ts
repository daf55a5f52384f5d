/** Chooses among a few workers that all fit. */
import type { Ledger } from '../capacity/Ledger'
import type { LedgerWorker } from '../capacity/LedgerWorker'
import type { Resources } from '../capacity/Resources'
import { IntentKind } from '@rillrudder/settings'

const CANDIDATES_PACKED = 8
const CANDIDATES_SPREAD = 32
const SAME_WORKER_PENALTY = 4
const SAME_RACK_PENALTY = 1
const IMBALANCE_WEIGHT = 0.5
const IDLE_ACCELERATOR_PENALTY = 2

/** Counts of the running tasks of one intent. @public */
export interface TaskCounts {
	countOnWorker(worker: string): number
	countInRack(rack: string): number
}

/** The counts of an intent that has no running tasks. @public */
export const NO_TASKS: TaskCounts = { countOnWorker: () => 0, countInRack: () => 0 }

/**
 * Chooses the worker for one task. Tasks are packed where the least is left over, with a penalty if
 * processors and memory are left in different proportions. The tasks of a service are also spread
 * away from their siblings.
 *
 * @param ledger - the free capacity.
 * @param need - what the task needs.
 * @param kind - the kind of its intent.
 * @param siblings - the running tasks of the same intent.
 * @returns the worker, or undefined if none fits.
 * @public
 */
export function chooseWorker(
	ledger: Ledger,
	need: Resources,
	kind: IntentKind,
	siblings: TaskCounts
): LedgerWorker | undefined {
	const spread = kind === IntentKind.Service
	const candidates = ledger.candidates(need, spread ? CANDIDATES_SPREAD : CANDIDATES_PACKED)
	let best: LedgerWorker | undefined
	let bestScore = Number.POSITIVE_INFINITY
	for (const worker of candidates) {
		const score = packingScoreOf(worker, need) + (spread ? spreadPenaltyOf(worker, siblings) : 0)
		if (score < bestScore) {
			bestScore = score
			best = worker
		}
	}
	return best
}

/**
 * The shares of processors and memory that stay free after the placement, with penalties; lower is
 * better.
 */
function packingScoreOf(worker: LedgerWorker, need: Resources): number {
	const cpu = (worker.free.cpu - need.cpu) / Math.max(1, worker.capacity.cpu)
	const memory = (worker.free.memory - need.memory) / Math.max(1, worker.capacity.memory)
	const leavesAcceleratorsIdle = need.accelerators === 0 && worker.free.accelerators > 0
	return (
		cpu +
		memory +
		Math.abs(cpu - memory) * IMBALANCE_WEIGHT +
		(leavesAcceleratorsIdle ? IDLE_ACCELERATOR_PENALTY : 0)
	)
}

function spreadPenaltyOf(worker: LedgerWorker, siblings: TaskCounts): number {
	return (
		siblings.countOnWorker(worker.id) * SAME_WORKER_PENALTY +
		siblings.countInRack(worker.rack) * SAME_RACK_PENALTY
	)
}
