/** The replicated state of a data centre and of the whole system, and the controllers that act on it. */
export {
	DATA_CENTRE_COMMAND_VERSION,
	decodeDataCentreCommand,
	encodeDataCentreCommand,
	type CommandOf,
	type DataCentreCommand,
} from './lib/commands/DataCentreCommand'
export {
	decodeSystemCommand,
	encodeSystemCommand,
	type SystemCommand,
} from './lib/commands/SystemCommand'
export { ConfigurationHolder, RevisionStore } from './lib/configuration/ConfigurationHolder'
export {
	ConfigurationRelay,
	type ConfigurationRelayParts,
} from './lib/configuration/ConfigurationRelay'
export { shouldServePeer } from './lib/configuration/shouldServePeer'
export { DataCentreController, type ControllerParts } from './lib/leader/DataCentreController'
export {
	LeaderDriver,
	GroupAccess,
	Environment,
	type LeaderDriverParts,
} from './lib/leader/LeaderDriver'
export {
	Effects,
	type GroupCall,
	type Moment,
	type OutgoingEvent,
	type SettleCall,
	type WorkerExchange,
} from './lib/leader/Effects'
export { incarnationIdOf, type EntryIncarnation } from './lib/leader/EntryIncarnations'
export {
	operatorCallSchema,
	type OperatorCall,
	type OperatorReply,
} from './lib/leader/operatorCalls'
export type { ReplyCallback } from './lib/leader/OperatorController'
export { OperatorRouter, type OperatorRouterParts } from './lib/leader/OperatorRouter'
export { SystemDriver, type SystemDriverParts } from './lib/leader/SystemDriver'
export {
	HEARTBEAT_INTERVAL_MS,
	MAX_CLOCK_DRIFT,
	LOAN_DURATION_MS,
	addDriftMargin,
	SETTLE_TIMEOUT_MS,
	START_WINDOW_MS,
	TASK_LEASE_MS,
} from './lib/leader/timing'
export type { ListedWorker } from './lib/leader/WorkerController'
export {
	exchangeReplySchema,
	settleReplySchema,
	type ExchangeCall,
	type ExchangeReply,
	type SettleReply,
	type StartOrder,
	type TaskOrder,
	type ThrottleOrder,
} from './lib/leader/workerProtocol'
export { toStoredAnswer, toAnswer, type StoredAnswer } from './lib/records/StoredAnswer'
export { Outcome, Problem } from './lib/records/Outcome'
export { type AuditFilter, type AuditRecord } from './lib/state/AuditTrail'
export { DataCentreState, type AppliedCommand } from './lib/state/DataCentreState'
export { type OperatorAnswer } from './lib/state/OperatorAnswers'
export { RequestPhase, type RequestRecord } from './lib/state/RequestTable'
export { SystemState } from './lib/state/SystemState'
export { PlanPhase, TaskPhase, type PlanRecord, type TaskRecord } from './lib/state/TaskTable'
export { type Loan, type WorkerRecord } from './lib/state/WorkerTable'
