/**
 * Pure scheduling decisions: ledger, placement, quotas, worker health, request slots and retry
 * budgets.
 */
export { Ledger } from './lib/capacity/Ledger'
export { LedgerWorker, type WorkerOffer } from './lib/capacity/LedgerWorker'
export {
	fits,
	minus,
	NO_RESOURCES,
	plus,
	roundDown,
	roundUp,
	times,
	type Resources,
} from './lib/capacity/Resources'
export { WorkerHealth } from './lib/health/WorkerHealth'
export { chooseWorker, NO_TASKS, type TaskCounts } from './lib/placement/chooseWorker'
export { Estimator } from './lib/placement/Estimator'
export { explainInfeasibility } from './lib/placement/explainInfeasibility'
export { Placement } from './lib/placement/Placement'
export { SiblingCounts } from './lib/placement/SiblingCounts'
export {
	PreemptionMethod,
	WaitingReason,
	type Decision,
	type PreemptionDecision,
	type RunningTask,
	type StartDecision,
	type Task,
} from './lib/placement/Task'
export { maxMinLevel, type Contender } from './lib/placement/maxMinLevel'
export {
	dominantShare,
	isWithinQuota,
	QuotaAccount,
	scaleQuota,
	type Quota,
	type QuotaTerms,
} from './lib/placement/QuotaAccount'
export { RetryBudget } from './lib/requests/RetryBudget'
export { SlotPool, type LentSlots, type AcquiredSlot } from './lib/requests/SlotPool'
