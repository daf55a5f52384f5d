/** Asks the service that knows the queues' policies, from this instance. */
import type { AdviceQuestion, AdviceResult } from '@rillrudder/jobs'

/** Asks for advice. @public */
export abstract class Adviser {
	/** @returns what came of the question; it never rejects. */
	abstract ask(question: AdviceQuestion): Promise<AdviceResult>
}
