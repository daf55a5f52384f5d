/** Sends verdicts to entry instances: how a request ended, and after which delay to retry. */
import { toAnswer } from '../records/StoredAnswer'
import { Outcome, Problem } from '../records/Outcome'
import type { RequestTable, RequestRecord } from '../state/RequestTable'
import type { Effects } from './Effects'
import { formatRequestId, type RequestId } from './RequestWaiters'

/** Weight of the newest sample in the moving average of a customer's service time. */
const SERVICE_TIME_WEIGHT = 0.1
const INITIAL_SERVICE_TIME_MS = 20
const MIN_RETRY_AFTER_MS = 500
const MAX_RETRY_AFTER_MS = 30_000

/**
 * Sends the outcome of requests and estimates how long a customer's next request would wait.
 *
 * @internal
 */
export class VerdictSender {
	/** Average service time of each customer's requests, in milliseconds. */
	private readonly serviceTimes = new Map<string, number>()
	private readonly startedAt = new Map<string, number>()

	constructor(
		private readonly requests: RequestTable,
		private readonly effects: Effects
	) {}

	clear(): void {
		this.startedAt.clear()
	}

	/** Handles the start of an attempt. */
	onStarted(request: RequestId, now: number): void {
		this.startedAt.set(formatRequestId(request), now)
	}

	/** Handles an attempt that was reverted because it did not start. */
	onUnstarted(request: RequestId): void {
		this.startedAt.delete(formatRequestId(request))
	}

	/** Handles the end of a request and updates the customer's average service time. */
	onFinished(request: RequestId, now: number): void {
		const name = formatRequestId(request)
		const since = this.startedAt.get(name)
		if (since === undefined) return
		this.startedAt.delete(name)
		const previous = this.serviceTimes.get(request.customer) ?? now - since
		const average = previous + (now - since - previous) * SERVICE_TIME_WEIGHT
		this.serviceTimes.set(request.customer, average)
	}

	/** @returns the estimated wait of a customer's next request, in milliseconds. */
	estimateWait(customer: string): number {
		const each = this.serviceTimes.get(customer) ?? INITIAL_SERVICE_TIME_MS
		return this.requests.openOf(customer) * each
	}

	/** Sends the recorded outcome of a finished request. */
	sendOutcome(process: string, record: RequestRecord): void {
		const outcome = record.outcome ?? Outcome.Unknown
		const isAnswerDropped = outcome === Outcome.Ran && !record.answer
		const problem = isAnswerDropped ? Problem.AnswerForgotten : (record.problem ?? '')
		const answer = record.answer ? toAnswer(record.answer) : undefined
		this.send(process, record, outcome, problem, answer)
	}

	/** Reports that a request was not run, and why. */
	sendRefusal(process: string, request: RequestId, problem: Problem): void {
		this.send(process, request, Outcome.NotRun, problem)
	}

	private send(
		to: string,
		request: RequestId,
		outcome: Outcome,
		problem: string,
		answer?: ReturnType<typeof toAnswer>
	): void {
		const { customer, key } = request
		const wait = Math.ceil(this.estimateWait(customer))
		const retryAfterMs = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, wait))
		const value = { customer, key, outcome, problem, answer, retryAfterMs }
		this.effects.outgoingEvents.push({ to, event: { body: { $case: 'verdict', value } } })
	}
}
