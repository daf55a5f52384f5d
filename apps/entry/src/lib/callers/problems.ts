/** Titles and HTTP statuses of the errors that the system itself returns to callers. */
import { Outcome, Problem } from '@rillrudder/cell'

const TITLES: Record<Problem, string> = {
	[Problem.Overloaded]: 'Too many requests are waiting to serve this one in time',
	[Problem.TimedOut]: 'The timeout expired before the request was started',
	[Problem.KeyReused]: 'The key was already used with a different request',
	[Problem.WorkerSilent]: 'The request was sent to a worker, which has not answered',
	[Problem.HomeUnreachable]: 'The home of the customer is unreachable',
	[Problem.NoWorker]: 'No worker was available in time',
	[Problem.AnswerForgotten]: 'The request ran, but its answer is no longer stored',
}

const STATUSES: Partial<Record<Problem, number>> = {
	[Problem.KeyReused]: 422,
	[Problem.TimedOut]: 504,
	[Problem.WorkerSilent]: 504,
	[Problem.AnswerForgotten]: 410,
}

const STATUS_UNAVAILABLE = 503
const STATUS_GATEWAY_TIMEOUT = 504

/** @returns the human-readable title of a problem. */
export function titleOf(problem: Problem): string {
	return TITLES[problem]
}

/** @returns the HTTP status of a problem. */
export function statusOf(problem: Problem, outcome: Outcome): number {
	const fallback = outcome === Outcome.Unknown ? STATUS_GATEWAY_TIMEOUT : STATUS_UNAVAILABLE
	return STATUSES[problem] ?? fallback
}
