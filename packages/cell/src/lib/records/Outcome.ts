/** What every answer to a caller says of its request. */

/** How a request ended. @public */
export const Outcome = {
	/** A worker ran it and its whole answer is known. */
	Ran: 'ran',
	/** It did not run, and nothing of it will. */
	NotRun: 'not-run',
	/** A worker was given it and no whole answer came. */
	Unknown: 'unknown',
} as const
/** One of the outcomes. @public */
export type Outcome = (typeof Outcome)[keyof typeof Outcome]

/** Why a request has no answer of a worker; the last part of the problem's `type`. @public */
export const Problem = {
	/** The wait would be longer than the caller's time. */
	Overloaded: 'overloaded',
	/** Its time ran out before it was started. */
	TimedOut: 'timed-out',
	/** The key was used before with another body. */
	KeyReused: 'key-reused',
	/** A worker was given it and did not answer. */
	WorkerSilent: 'worker-silent',
	/** The home of its customer can't be reached. */
	HomeUnreachable: 'home-unreachable',
	/** No worker could take it in time. */
	NoWorker: 'no-worker',
	/** The answer is no longer kept. */
	AnswerForgotten: 'answer-forgotten',
} as const
/** One of the problems. @public */
export type Problem = (typeof Problem)[keyof typeof Problem]
