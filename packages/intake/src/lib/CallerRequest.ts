/** The abstract form of a caller's request, independent of the transport. */
import type { Outcome, Problem } from '@rillrudder/cell'
import type { Answer } from '@rillrudder/protocol'
import type { EndToEndHeader } from '@rillrudder/web'

/** Details of one attempt that are sent to the worker in headers. @public */
export interface AttemptOptions {
	readonly attempt: number
	/** Fencing token; 0 for repeatable requests. */
	readonly fence: number
	/** Milliseconds left until the caller's deadline. */
	readonly timeout: number
}

/**
 * A caller's request. Only the first answer or refusal takes effect; later ones are ignored.
 *
 * @public
 */
export abstract class CallerRequest {
	abstract readonly customer: string
	abstract readonly key: string
	/** Whether the caller supplied the key, and so may retry with the same key. */
	abstract readonly callersKey: boolean
	abstract readonly repeatable: boolean
	/** Timeout set by the caller, in milliseconds. */
	abstract readonly timeout: number
	abstract readonly method: string
	abstract readonly path: string
	abstract readonly body: Buffer
	/** Digest of method, path and body. A key may only be reused with an identical digest. */
	abstract readonly digest: string
	/** Arrival time in monotonic milliseconds. */
	abstract readonly arrivedAt: number
	/** Monotonic milliseconds at which the caller's timeout expires. */
	abstract readonly deadline: number
	/** Whether it has been answered or refused. */
	abstract readonly isAnswered: boolean

	/** Registers a listener that is called if the caller disconnects before the answer. */
	abstract onDisconnect(listener: () => void): void

	/** @returns the headers to send to the worker. */
	abstract headersFor(terms: AttemptOptions): EndToEndHeader[]

	/** Answers with a worker's complete response. */
	abstract answer(answer: Answer): void

	/**
	 * Answers with an error that the system itself generates.
	 *
	 * @param outcome - whether the request was run, as far as is known.
	 * @param problem - why there is no response from a worker.
	 * @param retryAfter - milliseconds after which a retry may succeed; absent if no retry can.
	 */
	abstract refuse(outcome: Outcome, problem: Problem, retryAfter?: number): void
}
