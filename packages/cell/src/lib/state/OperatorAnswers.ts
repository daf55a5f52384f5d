/** Stored answers to operators' commands, so that a resend after a lost answer gets the first one. */

/** The result of an operator's command. @public */
export interface OperatorAnswer {
	/** Whether the command took effect. */
	readonly accepted: boolean
	/** Human-readable result or reason. */
	readonly message: string
	/** Name of the object that was created or changed. */
	readonly subject: string
	/** Configuration revision in force afterwards, if the command concerns the configuration. */
	readonly revision?: number
}

const MAX_ANSWERS = 20_000

/**
 * Answers by the request id that the operator's client has chosen.
 *
 * @public
 */
export class OperatorAnswers {
	private answers = new Map<string, OperatorAnswer>()

	/** @returns the answer to a request that was handled before. */
	find(request: string): OperatorAnswer | undefined {
		return this.answers.get(request)
	}

	/** Stores an answer, and drops the oldest one beyond `MAX_ANSWERS`. */
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
