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

/** Where the tasks of one intent already are. @public */
export interface TaskCounts {
	countOnWorker(worker: string): number
	countInRack(rack: string): number
}

/** An intent that has no tasks yet. @public */
export const NO_TASKS: TaskCounts = { countOnWorker: () => 0, countInRack: () => 0 }

/**
 * Chooses the worker for one task: services away from their siblings, everything else where the least
 * is left over, and processors and memory run out together.
 *
 * @param ledger - what is free.
 * @param need - what the task takes.
 * @param kind - the kind of its intent.
 * @param siblings - where the intent's other tasks are.
 * @returns the worker, or undefined when none fits.
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
		const score = leftOver(worker, need) + (spread ? crowding(worker, siblings) : 0)
		if (score < bestScore) {
			bestScore = score
			best = worker
		}
	}
	return best
}

/** What is left over after the task, as a share; lower is better packed. */
function leftOver(worker: LedgerWorker, need: Resources): number {
	const cpu = (worker.free.cpu - need.cpu) / Math.max(1, worker.capacity.cpu)
	const memory = (worker.free.memory - need.memory) / Math.max(1, worker.capacity.memory)
	const wasted = need.accelerators === 0 && worker.free.accelerators > 0
	return (
		cpu +
		memory +
		Math.abs(cpu - memory) * IMBALANCE_WEIGHT +
		(wasted ? IDLE_ACCELERATOR_PENALTY : 0)
	)
}

function crowding(worker: LedgerWorker, siblings: TaskCounts): number {
	return (
		siblings.countOnWorker(worker.id) * SAME_WORKER_PENALTY +
		siblings.countInRack(worker.rack) * SAME_RACK_PENALTY
	)
}
