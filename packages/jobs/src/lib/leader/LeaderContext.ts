/** The state, ports and settings that the parts of the controller share. */
import type { Ledger, WorkerHealth } from '@rillrudder/scheduler'
import type { Log, Meter } from '@rillrudder/telemetry'
import type { Clock, Random } from '@rillrudder/utils'
import type { CellState } from '../state/CellState'
import type { LeaderPolicy } from './LeaderPolicy'
import type { LeaderTiming } from './LeaderTiming'
import type { Advisers, Proposals, WorkerOrders } from './ports'

/** State, ports and settings of one leadership, shared by the parts of the controller. @public */
export interface LeaderContext {
	readonly state: CellState
	readonly ledger: Ledger
	readonly health: WorkerHealth
	readonly clock: Clock
	readonly random: Random
	readonly timing: LeaderTiming
	readonly policy: LeaderPolicy
	/** Term of this leadership; it is the fencing token of its orders. */
	readonly term: number
	readonly orders: WorkerOrders
	readonly advisers: Advisers
	readonly proposals: Proposals
	readonly log: Log
	readonly meter: Meter
	/** @returns milliseconds for which events have lately waited for the process's event loop. */
	readonly loopDelay: () => number
	/** Called when a worker has obeyed a leader of a higher term, so that this one must step down. */
	readonly onDeposed: () => void
}

/** @returns the current time in milliseconds since the Unix epoch. @internal */
export function epochTimeOf(context: LeaderContext): number {
	return context.clock.date().getTime()
}
