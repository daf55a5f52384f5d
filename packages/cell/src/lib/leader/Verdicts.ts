/** Tells entry instances how requests have ended, and when to come back. */
import { restoreAnswer } from '../records/Answer'
import { Outcome, Problem } from '../records/Outcome'
import type { RequestTable, RequestRecord } from '../state/RequestTable'
import type { Effects } from './Effects'
import { requestName, type RequestName } from './Waiters'

const SERVICE_TIME_WEIGHT = 0.1
const FIRST_SERVICE_TIME = 20
const LEAST_RETRY_AFTER = 500
const MOST_RETRY_AFTER = 30_000

/**
 * Tells how requests have ended.
 *
 * @internal
 */
export class Verdicts {
	/** How long a customer's requests take, in milliseconds. */
	private readonly serviceTimes = new Map<string, number>()
	private readonly startedAt = new Map<string, number>()

	constructor(
		private readonly requests: RequestTable,
		private readonly effects: Effects
	) {}

	clear(): void {
		this.startedAt.clear()
	}

	/** An attempt has begun. */
	began(request: RequestName, now: number): void {
		this.startedAt.set(requestName(request), now)
	}

	/** An attempt was taken back. */
	takenBack(request: RequestName): void {
		this.startedAt.delete(requestName(request))
	}

	/** A request has ended. */
	ended(request: RequestName, now: number): void {
		const name = requestName(request)
		const since = this.startedAt.get(name)
		if (since === undefined) return
		this.startedAt.delete(name)
		const known = this.serviceTimes.get(request.customer) ?? now - since
		const learned = known + (now - since - known) * SERVICE_TIME_WEIGHT
		this.serviceTimes.set(request.customer, learned)
	}

	/** @returns how long a customer's next request would wait, in milliseconds. */
	expectedWait(customer: string): number {
		const each = this.serviceTimes.get(customer) ?? FIRST_SERVICE_TIME
		return this.requests.openOf(customer) * each
	}

	/** Tells the end that is kept. */
	tell(process: string, record: RequestRecord): void {
		const outcome = record.outcome ?? Outcome.Unknown
		const forgotten = outcome === Outcome.Ran && !record.answer
		const problem = forgotten ? Problem.AnswerForgotten : (record.problem ?? '')
		const answer = record.answer ? restoreAnswer(record.answer) : undefined
		this.say(process, record, outcome, problem, answer)
	}

	/** Tells that a request was not run, and why. */
	refuse(process: string, request: RequestName, problem: Problem): void {
		this.say(process, request, Outcome.NotRun, problem)
	}

	private say(
		to: string,
		request: RequestName,
		outcome: Outcome,
		problem: string,
		answer?: ReturnType<typeof restoreAnswer>
	): void {
		const { customer, key } = request
		const wait = Math.ceil(this.expectedWait(customer))
		const retryAfterMs = Math.min(MOST_RETRY_AFTER, Math.max(LEAST_RETRY_AFTER, wait))
		const value = { customer, key, outcome, problem, answer, retryAfterMs }
		this.effects.sendings.push({ to, event: { body: { $case: 'verdict', value } } })
	}
}
