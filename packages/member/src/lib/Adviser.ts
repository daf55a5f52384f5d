/** Access to the service that holds the queues' policies, from this instance. */
import type { AdviceQuestion, AdviceResult } from '@rillrudder/jobs'

/** Requests advice on queued jobs. @public */
export abstract class Adviser {
	/** @returns the result of the question; the promise never rejects. */
	abstract ask(question: AdviceQuestion): Promise<AdviceResult>
}
