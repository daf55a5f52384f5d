/** Jobs of a cell: replicated records, and the leader's desk that places them. */
export {
	COMMAND_VERSION,
	decodeCommands,
	encodeCommands,
	type Begin,
	type CellCommand,
	type End,
} from './lib/commands/CellCommand'
export type * from './lib/desk/calls'
export type { DeskContext } from './lib/desk/DeskContext'
export { DeskEvent } from './lib/desk/DeskEvent'
export { DEFAULT_DESK_TIMING, type DeskTiming } from './lib/desk/DeskTiming'
export { JobDesk } from './lib/desk/JobDesk'
export * from './lib/desk/ports'
export { QueueTable } from './lib/desk/QueueTable'
export * from './lib/records/Cell'
export * from './lib/records/checkJob'
export * from './lib/records/Job'
export { CellState } from './lib/state/CellState'
export type { Change } from './lib/state/Change'
export { JobBook } from './lib/state/JobBook'
export { isActive, TaskStatus, type JobRecord } from './lib/state/JobRecord'
