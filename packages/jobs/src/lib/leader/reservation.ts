/** What the ledger takes for a task. */
import type { Resources } from '@rillrudder/scheduler'
import type { Step } from '../records/Job'

/** @returns what is reserved for a task of a step. @internal */
export function reservedFor(step: Step): Resources {
	return step.bestEffort ? { ...step.need, cpu: 0 } : step.need
}
