/** The outcome of a request, as reported to its caller. */

/** How a request ended. @public */
export const Outcome = {
	/** A worker ran it and its complete answer is known. */
	Ran: 'ran',
	/** It did not run, and never will. */
	NotRun: 'not-run',
	/** It was sent to a worker, but no complete answer was received. */
	Unknown: 'unknown',
} as const
/** One of the outcomes. @public */
export type Outcome = (typeof Outcome)[keyof typeof Outcome]

/** Why a request has no answer from a worker; the last segment of the problem's `type`. @public */
export const Problem = {
	/** The estimated wait exceeds the caller's timeout. */
	Overloaded: 'overloaded',
	/** The caller's deadline passed before it was started. */
	TimedOut: 'timed-out',
	/** The key was used before with another body. */
	KeyReused: 'key-reused',
	/** It was sent to a worker that did not answer. */
	WorkerSilent: 'worker-silent',
	/** The home of its customer is unreachable. */
	HomeUnreachable: 'home-unreachable',
	/** No worker could take it in time. */
	NoWorker: 'no-worker',
	/** The answer is no longer stored. */
	AnswerForgotten: 'answer-forgotten',
} as const
/** One of the problems. @public */
export type Problem = (typeof Problem)[keyof typeof Problem]
