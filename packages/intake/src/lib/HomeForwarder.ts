/**
 * Submits requests that are not repeatable to the leader of their customer's home, starts them when
 * the leader admits them, and reports their results to it.
 */
import { Outcome, Problem } from '@rillrudder/cell'
import {
	AttemptEnd,
	type Answer,
	type Event,
	type Go,
	type Redirect,
	type Report,
	type Verdict,
} from '@rillrudder/protocol'
import { Metric, type Metrics } from '@rillrudder/telemetry'
import type { Clock, Timer } from '@rillrudder/utils'
import type { CallerRequest } from './CallerRequest'
import type { GroupConnections } from './GroupConnections'
import { CallOutcome, type AttemptResult, type WorkerCalls } from './WorkerCalls'

const RESEND_INTERVAL_MS = 500
/** How long to wait for the leader's verdict after the caller's deadline. */
const VERDICT_GRACE_MS = 1000
/** How long the result of an attempt is resent to a leader that does not reply. */
const REPORT_RETRY_MS = 60_000
const RETRY_AFTER_MS = 1000
/** Attempts remembered so that late messages from a leader can be answered correctly. */
const MAX_REMEMBERED_ATTEMPTS = 100_000

/** Dependencies of `HomeForwarder`. @internal */
export interface HomeForwarderParts {
	readonly clock: Clock
	readonly metrics: Metrics
	readonly groups: GroupConnections
	/** Incarnation of this process. */
	readonly incarnation: string
	readonly workers: WorkerCalls
	/** Sends an event to a process. */
	readonly send: (to: string, event: Event) => boolean
	/** @returns the data centre that is a customer's home. */
	readonly homeOf: (customer: string) => string
	/** Called when a worker refused a request because it is leaving. */
	readonly onWorkerLeaving: (worker: string) => void
}

class Submission {
	/** All callers that sent this key and wait for the answer. */
	readonly callers: CallerRequest[] = []
	group: string
	wasSent = false
	lastSentAt = Number.NEGATIVE_INFINITY
	/** Highest term submitted to; messages from leaders of earlier terms are ignored. */
	term = 0
	runningAttempt = 0
	report: Report | undefined
	readonly createdAt: number

	constructor(
		readonly first: CallerRequest,
		group: string,
		now: number
	) {
		this.group = group
		this.createdAt = now
	}
}

/**
 * Forwards requests that are not repeatable.
 *
 * @internal
 */
export class HomeForwarder {
	private readonly submissions = new Map<string, Submission>()
	/** Started attempts, newest last: a late `go` for one is reported as lost rather than absent. */
	private readonly startedAttempts = new Map<string, number>()
	/** Attempts that will never be started here, so that a late `go` does not start them. */
	private readonly refusedAttempts = new Map<string, number>()
	private readonly timer: Timer

	constructor(private readonly parts: HomeForwarderParts) {
		this.timer = parts.clock.every(RESEND_INTERVAL_MS / 5, () => this.tick())
	}

	/** Number of requests without a verdict. */
	get openCount(): number {
		return this.submissions.size
	}

	/** Submits a request, or joins it to a pending one with the same key. */
	handleRequest(request: CallerRequest): void {
		const name = requestIdOf(request)
		const known = this.submissions.get(name)
		if (known && known.first.digest !== request.digest) {
			request.refuse(Outcome.NotRun, Problem.KeyReused)
			return
		}
		const submission = known ?? this.createSubmission(request)
		submission.callers.push(request)
		request.onDisconnect(() => this.onDisconnect(submission, request))
		if (known) return
		if (!this.parts.groups.isReachable(submission.group)) {
			this.failUnreachable(name, submission)
			return
		}
		this.submit(submission)
	}

	/** Starts a request that the leader has admitted, unless the grant is stale. */
	onGo(from: string, go: Go): void {
		if (go.incarnation !== this.parts.incarnation) return
		const submission = this.submissions.get(requestIdOf(go))
		if (!submission) {
			this.reportUnknownSubmission(from, go)
			return
		}
		if (go.term < submission.term || submission.runningAttempt >= go.attempt) return
		if (go.attempt <= (this.refusedAttempts.get(requestIdOf(go)) ?? 0)) {
			this.sendReport(from, go, AttemptEnd.ATTEMPT_END_NOT_STARTED)
			return
		}
		if (!this.parts.groups.canStart(go.beat)) {
			rememberAttempt(this.refusedAttempts, go)
			this.sendReport(from, go, AttemptEnd.ATTEMPT_END_NOT_STARTED)
			return
		}
		this.start(submission, go)
	}

	/** Answers all waiting callers with the leader's verdict. */
	onVerdict(verdict: Verdict): void {
		const name = requestIdOf(verdict)
		const submission = this.submissions.get(name)
		if (!submission) return
		this.submissions.delete(name)
		for (const caller of submission.callers) this.deliver(caller, verdict)
	}

	/** Resubmits a request to another group, or to another replica of the same group. */
	onRedirect(redirect: Redirect): void {
		const submission = this.submissions.get(requestIdOf(redirect))
		if (!submission) return
		if (redirect.group !== submission.group) {
			submission.group = redirect.group
			this.parts.groups.connect(redirect.group)
		}
		submission.lastSentAt = Number.NEGATIVE_INFINITY
	}

	stop(): void {
		this.timer.cancel()
	}

	private createSubmission(request: CallerRequest): Submission {
		const group = this.parts.homeOf(request.customer)
		this.parts.groups.connect(group)
		const submission = new Submission(request, group, this.parts.clock.now())
		this.submissions.set(requestIdOf(request), submission)
		return submission
	}

	private submit(submission: Submission): void {
		const { groups, clock } = this.parts
		const { customer, key, digest, callersKey, deadline } = submission.first
		const now = clock.now()
		submission.lastSentAt = now
		submission.term = Math.max(submission.term, groups.termOf(submission.group))
		const value = {
			customer,
			key,
			digest,
			timeoutMs: Math.max(1, Math.floor(deadline - now)),
			beat: 0,
			runningAttempt: submission.runningAttempt,
			callersKey,
			term: submission.term,
			group: submission.group,
		}
		if (this.send(submission, { body: { $case: 'submit', value } })) submission.wasSent = true
		if (submission.report) {
			const report = { ...submission.report, group: submission.group }
			this.send(submission, { body: { $case: 'report', value: report } })
		}
	}

	private start(submission: Submission, go: Go): void {
		const { workers, clock, metrics } = this.parts
		const { first } = submission
		submission.runningAttempt = go.attempt
		rememberAttempt(this.startedAttempts, go)
		const timeout = Math.max(1, first.deadline - clock.now())
		metrics.timing(Metric.RequestWait, clock.now() - first.arrivedAt)
		const { method, path, body } = first
		const headers = first.headersFor({ attempt: go.attempt, fence: go.fence, timeout })
		const { address } = go
		const call = { address, method, path, headers, body, timeout }
		workers.call(call, (result) => this.onAttemptEnd(submission, go, result))
	}

	private onAttemptEnd(submission: Submission, go: Go, result: AttemptResult): void {
		if (result.refusal === 'leaving') this.parts.onWorkerLeaving(go.worker)
		const { customer, key, attempt } = go
		const { end, answer } = toReportedEnd(result)
		const group = submission.group
		const { refusal } = result
		submission.report = { customer, key, attempt, end, answer, group, refusal }
		if (end === AttemptEnd.ATTEMPT_END_NOT_STARTED) {
			rememberAttempt(this.refusedAttempts, go)
			submission.runningAttempt = 0
		}
		this.send(submission, { body: { $case: 'report', value: submission.report } })
	}

	/** Reports on a `go` for an unknown request: lost if it was started here, otherwise absent. */
	private reportUnknownSubmission(from: string, go: Go): void {
		const wasStarted = (this.startedAttempts.get(requestIdOf(go)) ?? 0) >= go.attempt
		if (!wasStarted) rememberAttempt(this.refusedAttempts, go)
		const end = wasStarted ? AttemptEnd.ATTEMPT_END_LOST : AttemptEnd.ATTEMPT_END_ABSENT
		this.sendReport(from, go, end)
	}

	/** Reports the end of an attempt directly to the process that sent the `go`. */
	private sendReport(to: string, go: Go, end: AttemptEnd): void {
		const { customer, key, attempt, group } = go
		const value = { customer, key, attempt, end, answer: undefined, group, refusal: '' }
		this.parts.send(to, { body: { $case: 'report', value } })
	}

	private deliver(caller: CallerRequest, verdict: Verdict): void {
		if (verdict.answer) {
			caller.answer(verdict.answer)
			return
		}
		const problem = verdict.problem as Problem
		const isFinal = problem === Problem.KeyReused || problem === Problem.AnswerForgotten
		caller.refuse(verdict.outcome as Outcome, problem, isFinal ? undefined : verdict.retryAfterMs)
	}

	/** Withdraws a submission once all its callers have disconnected, unless it has started. */
	private onDisconnect(submission: Submission, request: CallerRequest): void {
		submission.callers.splice(submission.callers.indexOf(request), 1)
		if (submission.callers.length > 0 || submission.runningAttempt > 0) return
		const { customer, key } = submission.first
		const value = { customer, key, group: submission.group }
		this.send(submission, { body: { $case: 'withdraw', value } })
		this.submissions.delete(requestIdOf(submission.first))
	}

	private tick(): void {
		const now = this.parts.clock.now()
		for (const [name, submission] of this.submissions) {
			if (now >= submission.first.deadline + VERDICT_GRACE_MS) this.expire(name, submission)
			else if (!this.parts.groups.isReachable(submission.group))
				this.failUnreachable(name, submission)
			if (now - submission.lastSentAt >= RESEND_INTERVAL_MS) this.submit(submission)
			if (now - submission.createdAt > REPORT_RETRY_MS + submission.first.timeout) {
				this.submissions.delete(name)
			}
		}
	}

	private expire(name: string, submission: Submission): void {
		this.refuseAll(submission, Problem.WorkerSilent)
		if (submission.runningAttempt === 0) this.submissions.delete(name)
	}

	/**
	 * Refuses the callers because the home is unreachable. A running attempt continues, and its result
	 * is reported once the home is reachable again.
	 */
	private failUnreachable(name: string, submission: Submission): void {
		this.refuseAll(submission, Problem.HomeUnreachable)
		if (submission.runningAttempt === 0) this.submissions.delete(name)
	}

	/**
	 * Refuses all callers. Only a request with a generated key that was never sent is certain not to
	 * run; a key chosen by the caller may have been submitted through another instance.
	 */
	private refuseAll(submission: Submission, problem: Problem): void {
		for (const caller of submission.callers) {
			const isCertain = !caller.callersKey && !submission.wasSent
			caller.refuse(isCertain ? Outcome.NotRun : Outcome.Unknown, problem, RETRY_AFTER_MS)
		}
		submission.callers.length = 0
	}

	private send(submission: Submission, event: Event): boolean {
		return this.parts.groups.send(submission.group, event)
	}
}

/** Records the highest attempt of a request, and evicts the oldest request above the limit. */
function rememberAttempt(attempts: Map<string, number>, go: Go): void {
	const name = requestIdOf(go)
	const known = attempts.get(name) ?? 0
	attempts.delete(name)
	attempts.set(name, Math.max(known, go.attempt))
	if (attempts.size <= MAX_REMEMBERED_ATTEMPTS) return
	const oldest = attempts.keys().next()
	if (!oldest.done) attempts.delete(oldest.value)
}

interface ReportedEnd {
	readonly end: AttemptEnd
	readonly answer?: Answer
}

function toReportedEnd(result: AttemptResult): ReportedEnd {
	switch (result.end) {
		case CallOutcome.Answered:
			return { end: AttemptEnd.ATTEMPT_END_ANSWERED, answer: result.answer }
		case CallOutcome.NotStarted:
			return { end: AttemptEnd.ATTEMPT_END_NOT_STARTED }
		case CallOutcome.Lost:
			return { end: AttemptEnd.ATTEMPT_END_LOST }
		case CallOutcome.TooLong:
			return { end: AttemptEnd.ATTEMPT_END_ANSWERED, answer: tooLongAnswer() }
	}
}

/** @returns the answer that replaces a response above the size limit. */
function tooLongAnswer(): Answer {
	const title = 'It ran; its answer is longer than can be passed on'
	const type = 'urn:rillrudder:problem:answer-too-long'
	const body = Buffer.from(JSON.stringify({ type, title, status: 502, outcome: Outcome.Ran }))
	const headers = [{ name: 'content-type', value: 'application/problem+json' }]
	return { status: 502, headers, body }
}

function requestIdOf(request: { customer: string; key: string }): string {
	return `${request.customer}\n${request.key}`
}
