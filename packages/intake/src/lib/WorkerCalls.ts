/** What the controllers ask of whoever calls workers. */
import type { Answer } from '@rillrudder/protocol'
import type { PassedHeader } from '@rillrudder/web'

/** A request for a worker. @public */
export interface WorkerCall {
	/** Host and port. */
	readonly address: string
	readonly method: string
	/** Path and query. */
	readonly path: string
	readonly headers: readonly PassedHeader[]
	readonly body: Buffer
	/** Milliseconds until the attempt is given up. */
	readonly timeout: number
}

/** How an attempt ended. @public */
export const CallOutcome = {
	/** The whole answer is here. */
	Answered: 'answered',
	/** The worker refused it before it started, or was never reached. */
	NotStarted: 'not-started',
	/** It was written, and no whole answer came. */
	Lost: 'lost',
	/** The worker ran it, and its answer is longer than can be kept. */
	TooLong: 'too-long',
} as const
/** One of the ends. @public */
export type CallOutcome = (typeof CallOutcome)[keyof typeof CallOutcome]

/** The end of an attempt. @public */
export interface AttemptResult {
	readonly end: CallOutcome
	readonly answer?: Answer
	/** Why the worker refused it; empty when it did not. */
	readonly refusal: string
}

/** An attempt under way. @public */
export abstract class Attempt {
	/** Gives it up; it ends as it stands. */
	abstract abandon(): void
}

/** Calls workers. @public */
export abstract class WorkerCalls {
	/**
	 * Starts an attempt.
	 *
	 * @param call - the request.
	 * @param ended - told once how it ended.
	 */
	abstract call(call: WorkerCall, ended: (result: AttemptResult) => void): Attempt
}
