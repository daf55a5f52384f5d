/** A caller's request as the controllers see it. */
import type { Outcome, Problem } from '@rillrudder/cell'
import type { Answer } from '@rillrudder/protocol'
import type { PassedHeader } from '@rillrudder/web'

/** What a worker is told about an attempt. @public */
export interface AttemptOptions {
	readonly attempt: number
	readonly fence: number
	/** Milliseconds that are left. */
	readonly timeout: number
}

/**
 * A caller's request. It is answered once; whatever comes later goes nowhere.
 *
 * @public
 */
export abstract class CallerRequest {
	abstract readonly customer: string
	abstract readonly key: string
	/** Whether the caller chose the key, and may send it again. */
	abstract readonly callersKey: boolean
	abstract readonly repeatable: boolean
	/** Milliseconds that the caller gives it. */
	abstract readonly timeout: number
	abstract readonly method: string
	abstract readonly path: string
	abstract readonly body: Buffer
	/** Digest of method, path and body: the same key must come with the same. */
	abstract readonly digest: string
	/** Monotonic milliseconds. */
	abstract readonly arrivedAt: number
	/** Monotonic milliseconds at which the caller's time is over. */
	abstract readonly deadline: number
	/** Whether its answer has been given. */
	abstract readonly isAnswered: boolean

	/** Calls back if the caller goes away before the answer. */
	abstract onDisconnect(gone: () => void): void

	/** @returns the headers that a worker gets. */
	abstract headersFor(terms: AttemptOptions): PassedHeader[]

	/** Gives a worker's whole answer. */
	abstract answer(answer: Answer): void

	/**
	 * Gives an answer of the system's own.
	 *
	 * @param outcome - what is known of the request.
	 * @param problem - why there is no answer of a worker.
	 * @param retryAfter - milliseconds after which another try may help; absent where none does.
	 */
	abstract refuse(outcome: Outcome, problem: Problem, retryAfter?: number): void
}
