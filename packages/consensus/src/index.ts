/** Consensus on a replicated log, as a pure state machine. */
export type { Envelope, HardState, Output, Snapshot } from './lib/Output'
export { Replica, type ReplicaStatus } from './lib/Replica'
export {
	Role,
	type Applicant,
	type Founder,
	type ReplicaOptions,
	type RestoredState,
} from './lib/ReplicaState'
export { DEFAULT_TIMING, leaseDuration, type Timing } from './lib/Timing'
export { SafetyChecker } from './lib/SafetyChecker'
