/** What the parts of the controller share. */
import type { Ledger, WorkerHealth } from '@rillrudder/scheduler'
import type { Log, Meter } from '@rillrudder/telemetry'
import type { Clock, Random } from '@rillrudder/utils'
import type { CellState } from '../state/CellState'
import type { LeaderPolicy } from './LeaderPolicy'
import type { LeaderTiming } from './LeaderTiming'
import type { Advisers, Proposals, WorkerOrders } from './ports'

/** What the parts of the controller share. @public */
export interface LeaderContext {
	readonly state: CellState
	readonly ledger: Ledger
	readonly health: WorkerHealth
	readonly clock: Clock
	readonly random: Random
	readonly timing: LeaderTiming
	readonly policy: LeaderPolicy
	/** Term of this leadership, the fence of its orders. */
	readonly term: number
	readonly orders: WorkerOrders
	readonly advisers: Advisers
	readonly proposals: Proposals
	readonly log: Log
	readonly meter: Meter
	/** Called when a worker has obeyed a later leader: this one must give way. */
	readonly onDeposed: () => void
}

/** @returns milliseconds since the epoch. @internal */
export function epochTimeOf(context: LeaderContext): number {
	return context.clock.date().getTime()
}
