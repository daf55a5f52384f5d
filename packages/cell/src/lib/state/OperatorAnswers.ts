/** Answers to operators' commands, so that a resend after a lost answer gets the first one. */

/** How an operator's command ended. @public */
export interface OperatorAnswer {
	/** Whether it was done. */
	readonly accepted: boolean
	/** What was done or why not, for people. */
	readonly message: string
	/** Name of what was made or changed. */
	readonly subject: string
	/** Revision in force afterwards, where there is one. */
	readonly revision?: number
}

const MAX_ANSWERS = 20_000

/**
 * Answers by the request id that the operator's client chose.
 *
 * @public
 */
export class OperatorAnswers {
	private answers = new Map<string, OperatorAnswer>()

	/** @returns the answer to a request that was dealt with before. */
	find(request: string): OperatorAnswer | undefined {
		return this.answers.get(request)
	}

	/** Keeps an answer; the oldest is forgotten beyond 20,000. */
	keep(request: string, answer: OperatorAnswer): void {
		this.answers.set(request, answer)
		if (this.answers.size <= MAX_ANSWERS) return
		const oldest = this.answers.keys().next()
		if (!oldest.done) this.answers.delete(oldest.value)
	}

	/** @returns the answers for a snapshot. */
	save(): [string, OperatorAnswer][] {
		return [...this.answers]
	}

	/** @param saved - what `save` returned. */
	load(saved: [string, OperatorAnswer][]): void {
		this.answers = new Map(saved)
	}
}
