/** Decides which gangs are planned as a whole. */
import type { StepWork } from '../leader/steps/StepWork'

/** Workers that one question may name; the service refuses longer questions. @internal */
export const MAX_WORKERS_PER_QUESTION = 100
/**
 * Share of the ticket lifetime above which a full question makes the tickets of a queue
 * short-lived.
 */
const SHORT_TICKET_SHARE = 0.5

/**
 * If tickets live much longer than a question takes, a gang can ask first and then wait for
 * capacity. If a full question takes more than half of their lifetime, the tickets of two
 * consecutive questions are hardly valid together, and tickets that were requested too early have
 * expired when capacity is free.
 *
 * @returns whether a step is a gang whose capacity and tickets must be planned for one moment.
 * @internal
 */
export function shouldPlanGang({ step, queue }: Pick<StepWork, 'step' | 'queue'>): boolean {
	const { advice } = queue
	if (!step.gang || !advice) return false
	return advice.base + advice.each * MAX_WORKERS_PER_QUESTION > advice.valid * SHORT_TICKET_SHARE
}
