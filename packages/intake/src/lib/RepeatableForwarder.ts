/**
 * Serves repeatable requests on slots that were lent to this entry instance: no hop to a leader, no
 * entry in the log, and another try elsewhere within a budget.
 */
import { Outcome, Problem } from '@rillrudder/cell'
import type { Loans, WorkerSign } from '@rillrudder/protocol'
import { RetryBudget, SlotPool, type AcquiredSlot } from '@rillrudder/scheduler'
import { Metric, type Metrics } from '@rillrudder/telemetry'
import type { Clock, Random, Timer } from '@rillrudder/utils'
import type { CallerRequest } from './CallerRequest'
import { CallOutcome, type Attempt, type AttemptResult, type WorkerCalls } from './WorkerCalls'

const TICK = 50
const MOST_WAITING = 5000
/** Of the caller's time, the share that may go into waiting for a slot; beyond it a retry serves better. */
const WAITING_SHARE = 0.5
const MOST_ATTEMPTS = 4
const RETRY_AFTER = 1000
/** Slots kept though they are idle. */
const KEEP_IDLE = 4
/** How long slots are idle before they are given back. */
const IDLE_FOR = 1000
/** Requests are cut off this long before the loan is over, so that they are over when it is. */
const LOAN_MARGIN = 200
const SERVICE_TIME_WEIGHT = 0.05
const FIRST_SERVICE_TIME = 20

/** What the controller works with. @internal */
export interface RepeatableForwarderParts {
	readonly clock: Clock
	readonly random: Random
	readonly metrics: Metrics
	readonly workers: WorkerCalls
	/** Says a heartbeat at once, because slots are wanted. */
	readonly beat: () => void
	/** Whether the leader that lends slots has answered lately. */
	readonly reachable: () => boolean
	readonly retryShare: () => number
}

interface Run {
	readonly request: CallerRequest
	attempts: number
	avoid?: string
	/** Whether a worker may have seen it. */
	started: boolean
}

interface Sign {
	leaving: boolean
	succeeded: number
	failedFor: string[]
}

/**
 * The controller for repeatable requests.
 *
 * @internal
 */
export class RepeatableForwarder {
	private readonly pool: SlotPool
	private readonly budget: RetryBudget
	private waiting: Run[] = []
	private readonly attempts = new Set<Attempt>()
	private signs = new Map<string, Sign>()
	private loanEnd = Number.NEGATIVE_INFINITY
	private serviceTime = FIRST_SERVICE_TIME
	private busiest = 0
	private busiestSince = 0
	private asked = false
	private readonly timer: Timer

	/** The newest grant that was seen. */
	grant = 0

	constructor(private readonly parts: RepeatableForwarderParts) {
		this.pool = new SlotPool(parts.random)
		this.budget = new RetryBudget(parts.retryShare())
		this.timer = parts.clock.every(TICK, () => this.tick())
	}

	/** Requests that wait for a slot. */
	get wanted(): number {
		return this.waiting.length
	}

	/** Slots that are held of each worker, in use or not. */
	get held() {
		return this.pool.held().map(({ worker, slots }) => ({ worker, held: slots }))
	}

	/** @returns what was seen of workers since the last call. */
	takeSigns(): WorkerSign[] {
		const signs = [...this.signs].map(([worker, sign]) => ({ worker, ...sign }))
		this.signs = new Map()
		return signs
	}

	/** Takes a request. */
	take(request: CallerRequest): void {
		if (!this.parts.reachable() && !this.mayUseLoan()) {
			request.refuse(Outcome.NotRun, Problem.HomeUnreachable, RETRY_AFTER)
			return
		}
		const run: Run = { request, attempts: 0, started: false }
		this.budget.onFirstAttempt()
		request.onDisconnect(() => this.leave(run))
		if (!this.tryStart(run)) this.enqueue(run)
	}

	/** A worker has refused work because it is leaving. */
	leaving(worker: string): void {
		this.pool.close(worker)
		this.sign(worker).leaving = true
		this.parts.beat()
	}

	/** Takes the leader's answer to a heartbeat. */
	loans(loans: Loans, end: number): void {
		this.loanEnd = Math.max(this.loanEnd, end)
		this.asked = false
		if (loans.grant >= this.grant) {
			this.grant = loans.grant
			this.pool.update(loans.loans)
		}
		this.drain()
	}

	stop(): void {
		this.timer.cancel()
	}

	private enqueue(run: Run): void {
		const wait = this.expectedWait()
		const left = run.request.deadline - this.parts.clock.now()
		if (this.waiting.length >= MOST_WAITING || wait > left * WAITING_SHARE) {
			run.request.refuse(Outcome.NotRun, Problem.Overloaded, wait)
			return
		}
		this.waiting.push(run)
		this.ask()
	}

	/** Asks for slots without waiting for the next heartbeat, once until it is answered. */
	private ask(): void {
		if (this.asked) return
		this.asked = true
		this.parts.beat()
	}

	private drain(): void {
		let next = 0
		while (next < this.waiting.length && this.tryStart(this.waiting[next])) next += 1
		if (next > 0) this.waiting = this.waiting.slice(next)
	}

	private tryStart(run: Run): boolean {
		if (run.request.isAnswered) return true
		if (!this.mayUseLoan()) return false
		const slot = this.pool.acquire(run.avoid)
		if (!slot) return false
		this.start(run, slot)
		return true
	}

	private start(run: Run, slot: AcquiredSlot): void {
		const { clock, workers, metrics } = this.parts
		const { request } = run
		const begun = clock.now()
		run.attempts += 1
		if (run.attempts === 1) metrics.timing(Metric.RequestWait, begun - request.arrivedAt)
		else metrics.count(Metric.Retries)
		const timeout = Math.max(1, request.deadline - begun)
		const { method, path, body } = request
		const headers = request.headersFor({ attempt: run.attempts, fence: 0, timeout })
		const call = { address: slot.address, method, path, headers, body, timeout }
		const attempt = workers.call(call, (result) => {
			this.attempts.delete(attempt)
			this.ended(run, slot, result, clock.now() - begun)
		})
		this.attempts.add(attempt)
	}

	private ended(run: Run, slot: AcquiredSlot, result: AttemptResult, span: number): void {
		const { request } = run
		const answer = result.end === CallOutcome.Answered ? result.answer : undefined
		this.pool.release(slot.worker, answer ? span : undefined)
		this.note(slot.worker, request.customer, result)
		if (answer) {
			this.serviceTime += (span - this.serviceTime) * SERVICE_TIME_WEIGHT
			request.answer(answer)
		} else {
			run.started ||= result.end !== CallOutcome.NotStarted
			run.avoid = slot.worker
			this.retry(run, result)
		}
		this.drain()
	}

	private retry(run: Run, result: AttemptResult): void {
		const { request } = run
		if (request.isAnswered) return
		const now = this.parts.clock.now()
		const free = result.end === CallOutcome.NotStarted
		const may = now < request.deadline && run.attempts < MOST_ATTEMPTS
		if (may && (free || this.budget.trySpend())) {
			if (!this.tryStart(run)) this.enqueue(run)
			return
		}
		const problem = now >= request.deadline ? Problem.TimedOut : Problem.WorkerSilent
		request.refuse(run.started ? Outcome.Unknown : Outcome.NotRun, problem, RETRY_AFTER)
	}

	private note(worker: string, customer: string, result: AttemptResult): void {
		const sign = this.sign(worker)
		if (result.refusal === 'leaving') this.leaving(worker)
		else if (result.end === CallOutcome.NotStarted) return
		else if (result.answer && result.answer.status < 500) sign.succeeded += 1
		else sign.failedFor.push(customer)
	}

	private leave(run: Run): void {
		const position = this.waiting.indexOf(run)
		if (position >= 0) this.waiting.splice(position, 1)
	}

	private tick(): void {
		const now = this.parts.clock.now()
		this.budget.share = this.parts.retryShare()
		if (now >= this.loanEnd - LOAN_MARGIN) this.cutOff()
		this.expire(now)
		this.giveBackIdle(now)
		this.drain()
		if (this.waiting.length > 0) this.ask()
		this.parts.metrics.gauge(Metric.SlotsLent, this.pool.size)
		this.parts.metrics.gauge(Metric.SlotsUsed, this.pool.used)
	}

	/** The loan is about to be over: what still runs on it must be over too. */
	private cutOff(): void {
		for (const attempt of this.attempts) attempt.abandon()
	}

	private expire(now: number): void {
		const reachable = this.parts.reachable()
		if (reachable && this.waiting.every((run) => run.request.deadline > now)) return
		this.waiting = this.waiting.filter((run) => {
			if (run.request.deadline > now && reachable) return true
			const outcome = run.started ? Outcome.Unknown : Outcome.NotRun
			const problem = reachable ? Problem.NoWorker : Problem.HomeUnreachable
			run.request.refuse(outcome, problem, RETRY_AFTER)
			return false
		})
	}

	private giveBackIdle(now: number): void {
		this.busiest = Math.max(this.busiest, this.pool.used + this.waiting.length)
		if (now - this.busiestSince < IDLE_FOR) return
		const idle = this.pool.size - this.busiest - KEEP_IDLE
		if (idle > 0) this.pool.returnIdle(idle)
		this.busiest = 0
		this.busiestSince = now
	}

	private mayUseLoan(): boolean {
		return this.parts.clock.now() < this.loanEnd - LOAN_MARGIN
	}

	private expectedWait(): number {
		return (this.waiting.length * this.serviceTime) / Math.max(1, this.pool.size)
	}

	private sign(worker: string): Sign {
		let sign = this.signs.get(worker)
		if (!sign) {
			sign = { leaving: false, succeeded: 0, failedFor: [] }
			this.signs.set(worker, sign)
		}
		return sign
	}
}
