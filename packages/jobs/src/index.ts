/**
 * The job scheduler of a cell: the replicated state, and the leader's controller that places tasks
 * on workers.
 */
export {
	COMMAND_VERSION,
	decodeCommands,
	encodeCommands,
	type RunStart,
	type RunRef,
	type CellCommand,
	type RunOutcome,
} from './lib/commands/CellCommand'
export { digestOf, type ClientAccount } from './lib/accounts/ClientAccount'
export type { AdviserStatus } from './lib/leader/advice/AdviserStatus'
export * from './lib/leader/callers/calls'
export type { LeaderContext } from './lib/leader/LeaderContext'
export { LeaderEvent } from './lib/leader/LeaderEvent'
export { DEFAULT_LEADER_POLICY, type LeaderPolicy } from './lib/leader/LeaderPolicy'
export { DEFAULT_LEADER_TIMING, type LeaderTiming } from './lib/leader/LeaderTiming'
export { JobController } from './lib/leader/JobController'
export * from './lib/leader/ports'
export { QueueTable } from './lib/leader/callers/QueueTable'
export { isSameWorker } from './lib/leader/workers/isSameWorker'
export * from './lib/records/Cell'
export * from './lib/records/checkJob'
export * from './lib/records/Incarnation'
export * from './lib/records/Job'
export { CellState } from './lib/state/CellState'
export type { Change } from './lib/state/Change'
export { JobTable } from './lib/state/JobTable'
export type { KnownWorkers } from './lib/state/KnownWorkers'
export { isActive, TaskStatus, type JobRecord } from './lib/state/JobRecord'
