/** Titles and HTTP statuses of the errors that the system itself returns to callers. */
import { Outcome, Problem } from '@rillrudder/cell'

const TITLES: Record<Problem, string> = {
	[Problem.Overloaded]: 'More is waiting than can be served in time',
	[Problem.TimedOut]: 'Its time ran out before it was started',
	[Problem.KeyReused]: 'The key was used before with another request',
	[Problem.WorkerSilent]: 'A worker was given it and has not answered',
	[Problem.HomeUnreachable]: 'The home of the customer cannot be reached',
	[Problem.NoWorker]: 'No worker could take it in time',
	[Problem.AnswerForgotten]: 'It ran; the answer is no longer kept',
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
