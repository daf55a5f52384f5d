/**
 * Brings requests that are not repeatable to the leader of their customer's home, starts them when it
 * says so, and reports how they ended.
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
import type { Groups } from './Groups'
import { CallOutcome, type AttemptResult, type WorkerCalls } from './WorkerCalls'

const SEND_AGAIN_EVERY = 500
/** How long after the caller's time the leader's verdict is still waited for. */
const VERDICT_GRACE = 1000
/** How long the end of an attempt is reported to a leader that does not answer. */
const REPORT_FOR = 60_000
const RETRY_AFTER = 1000
/** Attempts that are remembered after their callers have gone. */
const MOST_REMEMBERED = 100_000

/** What the controller works with. @internal */
export interface HomeForwarderParts {
	readonly clock: Clock
	readonly metrics: Metrics
	readonly groups: Groups
	/** Names this life of the process. */
	readonly incarnation: string
	readonly workers: WorkerCalls
	/** Sends to a process. */
	readonly send: (to: string, event: Event) => boolean
	/** @returns the data centre that a customer's requests go to. */
	readonly home: (customer: string) => string
	/** Told that a worker refused because it is leaving. */
	readonly leaving: (worker: string) => void
}

class Submission {
	/** Every caller that sent this key and waits here. */
	readonly callers: CallerRequest[] = []
	group: string
	sentOn = false
	sentAt = Number.NEGATIVE_INFINITY
	/** Term that the leader was told; an earlier leader's word no longer counts. */
	term = 0
	running = 0
	report: Report | undefined
	readonly since: number

	constructor(
		readonly first: CallerRequest,
		group: string,
		now: number
	) {
		this.group = group
		this.since = now
	}
}

/**
 * The controller for requests that are not repeatable.
 *
 * @internal
 */
export class HomeForwarder {
	private readonly submissions = new Map<string, Submission>()
	/** Attempts that were begun, the newest last; a leader that asks late is told the truth. */
	private readonly begun = new Map<string, number>()
	/** Attempts that will not be begun here any more, so that a late word starts nothing. */
	private readonly refused = new Map<string, number>()
	private readonly timer: Timer

	constructor(private readonly parts: HomeForwarderParts) {
		this.timer = parts.clock.every(SEND_AGAIN_EVERY / 5, () => this.tick())
	}

	/** Requests that have no verdict yet. */
	get open(): number {
		return this.submissions.size
	}

	/** Takes a request. */
	take(request: CallerRequest): void {
		const name = nameOf(request)
		const known = this.submissions.get(name)
		if (known && known.first.digest !== request.digest) {
			request.refuse(Outcome.NotRun, Problem.KeyReused)
			return
		}
		const submission = known ?? this.begin(request)
		submission.callers.push(request)
		request.onDisconnect(() => this.gone(submission, request))
		if (known) return
		if (!this.parts.groups.isReachable(submission.group)) {
			this.giveUp(name, submission)
			return
		}
		this.submit(submission)
	}

	/** The leader says that a request may start here, now. */
	go(from: string, go: Go): void {
		if (go.incarnation !== this.parts.incarnation) return
		const submission = this.submissions.get(nameOf(go))
		if (!submission) {
			this.reportForgotten(from, go)
			return
		}
		if (go.term < submission.term || submission.running >= go.attempt) return
		if (go.attempt <= (this.refused.get(nameOf(go)) ?? 0)) {
			this.report(from, go, AttemptEnd.ATTEMPT_END_NOT_STARTED)
			return
		}
		if (!this.parts.groups.mayStart(go.beat)) {
			remember(this.refused, go)
			this.report(from, go, AttemptEnd.ATTEMPT_END_NOT_STARTED)
			return
		}
		this.start(submission, go)
	}

	/** The leader says how a request ended. */
	verdict(verdict: Verdict): void {
		const name = nameOf(verdict)
		const submission = this.submissions.get(name)
		if (!submission) return
		this.submissions.delete(name)
		for (const caller of submission.callers) this.tell(caller, verdict)
	}

	/** The request is for another group, or for another replica of it. */
	redirected(redirect: Redirect): void {
		const submission = this.submissions.get(nameOf(redirect))
		if (!submission) return
		if (redirect.group !== submission.group) {
			submission.group = redirect.group
			this.parts.groups.need(redirect.group)
		}
		submission.sentAt = Number.NEGATIVE_INFINITY
	}

	stop(): void {
		this.timer.cancel()
	}

	private begin(request: CallerRequest): Submission {
		const group = this.parts.home(request.customer)
		this.parts.groups.need(group)
		const submission = new Submission(request, group, this.parts.clock.now())
		this.submissions.set(nameOf(request), submission)
		return submission
	}

	private submit(submission: Submission): void {
		const { groups, clock } = this.parts
		const { customer, key, digest, callersKey, deadline } = submission.first
		const now = clock.now()
		submission.sentAt = now
		submission.term = Math.max(submission.term, groups.termOf(submission.group))
		const value = {
			customer,
			key,
			digest,
			timeoutMs: Math.max(1, Math.floor(deadline - now)),
			beat: 0,
			runningAttempt: submission.running,
			callersKey,
			term: submission.term,
			group: submission.group,
		}
		if (this.send(submission, { body: { $case: 'submit', value } })) submission.sentOn = true
		if (submission.report) {
			const report = { ...submission.report, group: submission.group }
			this.send(submission, { body: { $case: 'report', value: report } })
		}
	}

	private start(submission: Submission, go: Go): void {
		const { workers, clock, metrics } = this.parts
		const { first } = submission
		submission.running = go.attempt
		remember(this.begun, go)
		const timeout = Math.max(1, first.deadline - clock.now())
		metrics.timing(Metric.RequestWait, clock.now() - first.arrivedAt)
		const { method, path, body } = first
		const headers = first.headersFor({ attempt: go.attempt, fence: go.fence, timeout })
		const { address } = go
		const call = { address, method, path, headers, body, timeout }
		workers.call(call, (result) => this.ended(submission, go, result))
	}

	private ended(submission: Submission, go: Go, result: AttemptResult): void {
		if (result.refusal === 'leaving') this.parts.leaving(go.worker)
		const { customer, key, attempt } = go
		const { end, answer } = reportedEnd(result)
		const group = submission.group
		const { refusal } = result
		submission.report = { customer, key, attempt, end, answer, group, refusal }
		if (end === AttemptEnd.ATTEMPT_END_NOT_STARTED) {
			remember(this.refused, go)
			submission.running = 0
		}
		this.send(submission, { body: { $case: 'report', value: submission.report } })
	}

	/** Nobody waits for it here any more: it was not begun, unless it was and is remembered. */
	private reportForgotten(from: string, go: Go): void {
		const begun = (this.begun.get(nameOf(go)) ?? 0) >= go.attempt
		if (!begun) remember(this.refused, go)
		const end = begun ? AttemptEnd.ATTEMPT_END_LOST : AttemptEnd.ATTEMPT_END_ABSENT
		this.report(from, go, end)
	}

	/** Answers whoever said that it may go. */
	private report(to: string, go: Go, end: AttemptEnd): void {
		const { customer, key, attempt, group } = go
		const value = { customer, key, attempt, end, answer: undefined, group, refusal: '' }
		this.parts.send(to, { body: { $case: 'report', value } })
	}

	private tell(caller: CallerRequest, verdict: Verdict): void {
		if (verdict.answer) {
			caller.answer(verdict.answer)
			return
		}
		const problem = verdict.problem as Problem
		const final = problem === Problem.KeyReused || problem === Problem.AnswerForgotten
		caller.refuse(verdict.outcome as Outcome, problem, final ? undefined : verdict.retryAfterMs)
	}

	/** A caller has gone: what has not started need not. */
	private gone(submission: Submission, request: CallerRequest): void {
		submission.callers.splice(submission.callers.indexOf(request), 1)
		if (submission.callers.length > 0 || submission.running > 0) return
		const { customer, key } = submission.first
		const value = { customer, key, group: submission.group }
		this.send(submission, { body: { $case: 'withdraw', value } })
		this.submissions.delete(nameOf(submission.first))
	}

	private tick(): void {
		const now = this.parts.clock.now()
		for (const [name, submission] of this.submissions) {
			if (now >= submission.first.deadline + VERDICT_GRACE) this.callersTimeIsOver(name, submission)
			else if (!this.parts.groups.isReachable(submission.group)) this.giveUp(name, submission)
			if (now - submission.sentAt >= SEND_AGAIN_EVERY) this.submit(submission)
			if (now - submission.since > REPORT_FOR + submission.first.timeout) {
				this.submissions.delete(name)
			}
		}
	}

	private callersTimeIsOver(name: string, submission: Submission): void {
		this.refuseAll(submission, Problem.WorkerSilent)
		if (submission.running === 0) this.submissions.delete(name)
	}

	/** The home can't be reached. What runs goes on, and its end is reported once it can be. */
	private giveUp(name: string, submission: Submission): void {
		this.refuseAll(submission, Problem.HomeUnreachable)
		if (submission.running === 0) this.submissions.delete(name)
	}

	/** Only a key of the system's own that was never sent on is certain not to run. */
	private refuseAll(submission: Submission, problem: Problem): void {
		for (const caller of submission.callers) {
			const certain = !caller.callersKey && !submission.sentOn
			caller.refuse(certain ? Outcome.NotRun : Outcome.Unknown, problem, RETRY_AFTER)
		}
		submission.callers.length = 0
	}

	private send(submission: Submission, event: Event): boolean {
		return this.parts.groups.send(submission.group, event)
	}
}

/** Keeps the newest attempt of each request, and forgets the oldest requests. */
function remember(attempts: Map<string, number>, go: Go): void {
	const name = nameOf(go)
	const known = attempts.get(name) ?? 0
	attempts.delete(name)
	attempts.set(name, Math.max(known, go.attempt))
	if (attempts.size <= MOST_REMEMBERED) return
	const oldest = attempts.keys().next()
	if (!oldest.done) attempts.delete(oldest.value)
}

interface ReportedEnd {
	readonly end: AttemptEnd
	readonly answer?: Answer
}

function reportedEnd(result: AttemptResult): ReportedEnd {
	switch (result.end) {
		case CallOutcome.Answered:
			return { end: AttemptEnd.ATTEMPT_END_ANSWERED, answer: result.answer }
		case CallOutcome.NotStarted:
			return { end: AttemptEnd.ATTEMPT_END_NOT_STARTED }
		case CallOutcome.Lost:
			return { end: AttemptEnd.ATTEMPT_END_LOST }
		case CallOutcome.TooLong:
			return { end: AttemptEnd.ATTEMPT_END_ANSWERED, answer: tooLong() }
	}
}

/** It ran; what can be kept of its answer is that it was too long. */
function tooLong(): Answer {
	const title = 'It ran; its answer is longer than can be passed on'
	const type = 'urn:rillrudder:problem:answer-too-long'
	const body = Buffer.from(JSON.stringify({ type, title, status: 502, outcome: Outcome.Ran }))
	const headers = [{ name: 'content-type', value: 'application/problem+json' }]
	return { status: 502, headers, body }
}

function nameOf(request: { customer: string; key: string }): string {
	return `${request.customer}\n${request.key}`
}
