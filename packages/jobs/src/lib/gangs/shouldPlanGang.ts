/** Which gangs are planned as a whole. */
import type { StepWork } from '../leader/steps/StepWork'

/** Workers that one question may name; the service refuses longer ones. @internal */
export const MAX_WORKERS_PER_QUESTION = 100
/** Share of a ticket's life that a full question must take for the tickets of its queue to count as short. */
const SHORT_TICKETS = 0.5

/**
 * Where tickets hold for much longer than a question takes, a gang may ask first and wait for room after. Where a full question takes
 * more than half of their life, the tickets of two that follow each other hardly hold together, and what is asked too early has run out when
 * room comes.
 *
 * @returns whether a step is a gang whose room and tickets have to be planned for one moment.
 * @internal
 */
export function shouldPlanGang({ step, queue }: Pick<StepWork, 'step' | 'queue'>): boolean {
	const { advice } = queue
	if (!step.gang || !advice) return false
	return advice.base + advice.each * MAX_WORKERS_PER_QUESTION > advice.valid * SHORT_TICKETS
}
