/** The interface through which the forwarders send requests to workers. */
import type { Answer } from '@rillrudder/protocol'
import type { EndToEndHeader } from '@rillrudder/web'

/** A request to send to a worker. @public */
export interface WorkerCall {
	/** Host and port. */
	readonly address: string
	readonly method: string
	/** Path and query. */
	readonly path: string
	readonly headers: readonly EndToEndHeader[]
	readonly body: Buffer
	/** Milliseconds after which the attempt is abandoned. */
	readonly timeout: number
}

/** How a call to a worker ended. @public */
export const CallOutcome = {
	/** The complete response was received. */
	Answered: 'answered',
	/** The worker refused the request before starting it, or was never reached. */
	NotStarted: 'not-started',
	/** The request may have reached the worker, but no complete response was received. */
	Lost: 'lost',
	/** The worker ran the request, but its response exceeds the size limit. */
	TooLong: 'too-long',
} as const
/** One of the values of `CallOutcome`. @public */
export type CallOutcome = (typeof CallOutcome)[keyof typeof CallOutcome]

/** The result of an attempt. @public */
export interface AttemptResult {
	readonly end: CallOutcome
	readonly answer?: Answer
	/** The reason for which the worker refused it; empty if it did not refuse. */
	readonly refusal: string
}

/** An attempt in flight. @public */
export abstract class Attempt {
	/** Abandons the attempt; its result reflects how far it had got. */
	abstract abandon(): void
}

/** Sends requests to workers. @public */
export abstract class WorkerCalls {
	/**
	 * Starts an attempt.
	 *
	 * @param call - the request to send.
	 * @param onEnd - called exactly once, with the result.
	 */
	abstract call(call: WorkerCall, onEnd: (result: AttemptResult) => void): Attempt
}
