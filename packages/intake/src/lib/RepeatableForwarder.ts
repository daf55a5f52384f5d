/**
 * Serves repeatable requests on slots lent to this entry instance: without a hop to a leader or a log
 * entry, and with retries on other workers within a retry budget.
 */
import { Outcome, Problem } from '@rillrudder/cell'
import type { Loans, WorkerSign } from '@rillrudder/protocol'
import { RetryBudget, SlotPool, type AcquiredSlot } from '@rillrudder/scheduler'
import { Metric, type Metrics } from '@rillrudder/telemetry'
import type { Clock, Random, Timer } from '@rillrudder/utils'
import type { CallerRequest } from './CallerRequest'
import { CallOutcome, type Attempt, type AttemptResult, type WorkerCalls } from './WorkerCalls'

const TICK_MS = 50
const MAX_WAITING = 5000
/** Maximum share of the remaining time to spend waiting for a slot; beyond it a retry is better. */
const MAX_WAIT_SHARE = 0.5
const MAX_ATTEMPTS = 4
const RETRY_AFTER_MS = 1000
/** Idle slots kept above peak demand. */
const IDLE_SLOT_RESERVE = 4
/** Window over which peak demand is measured before idle slots are returned. */
const IDLE_WINDOW_MS = 1000
/** Attempts are abandoned this long before the loan ends, so that none outlives it. */
const LOAN_MARGIN_MS = 200
/** Weight of a new sample in the moving average of the service time. */
const SERVICE_TIME_WEIGHT = 0.05
const INITIAL_SERVICE_TIME_MS = 20

/** Dependencies of `RepeatableForwarder`. @internal */
export interface RepeatableForwarderParts {
	readonly clock: Clock
	readonly random: Random
	readonly metrics: Metrics
	readonly workers: WorkerCalls
	/** Sends a heartbeat immediately to request slots. */
	readonly sendBeat: () => void
	/** Whether the leader that lends slots has replied recently. */
	readonly isReachable: () => boolean
	readonly retryShare: () => number
}

interface PendingRequest {
	readonly request: CallerRequest
	attempts: number
	avoidedWorker?: string
	/** Whether a worker may have started it. */
	started: boolean
}

interface Sign {
	leaving: boolean
	succeeded: number
	failedFor: string[]
}

/**
 * Forwards repeatable requests to workers.
 *
 * @internal
 */
export class RepeatableForwarder {
	private readonly pool: SlotPool
	private readonly budget: RetryBudget
	private waiting: PendingRequest[] = []
	private readonly attempts = new Set<Attempt>()
	private signs = new Map<string, Sign>()
	private loanEnd = Number.NEGATIVE_INFINITY
	private serviceTime = INITIAL_SERVICE_TIME_MS
	private peakDemand = 0
	private peakSince = 0
	private isBeatPending = false
	private readonly timer: Timer

	/** The highest grant number received. */
	grant = 0

	constructor(private readonly parts: RepeatableForwarderParts) {
		this.pool = new SlotPool(parts.random)
		this.budget = new RetryBudget(parts.retryShare())
		this.timer = parts.clock.every(TICK_MS, () => this.tick())
	}

	/** Number of requests waiting for a slot. */
	get waitingCount(): number {
		return this.waiting.length
	}

	/** Slots held on each worker, in use or idle. */
	get heldSlots() {
		return this.pool.held().map(({ worker, slots }) => ({ worker, held: slots }))
	}

	/** @returns the observations of workers since the last call, and clears them. */
	takeSigns(): WorkerSign[] {
		const signs = [...this.signs].map(([worker, sign]) => ({ worker, ...sign }))
		this.signs = new Map()
		return signs
	}

	/** Starts a request, or queues it until a slot is free. */
	handleRequest(request: CallerRequest): void {
		if (!this.parts.isReachable() && !this.canUseLoan()) {
			request.refuse(Outcome.NotRun, Problem.HomeUnreachable, RETRY_AFTER_MS)
			return
		}
		const pending: PendingRequest = { request, attempts: 0, started: false }
		this.budget.onFirstAttempt()
		request.onDisconnect(() => this.removeWaiting(pending))
		if (!this.tryStart(pending)) this.enqueue(pending)
	}

	/** Stops using a worker that refused a request because it is leaving. */
	onWorkerLeaving(worker: string): void {
		this.pool.close(worker)
		this.signOf(worker).leaving = true
		this.parts.sendBeat()
	}

	/** Handles the leader's reply to a heartbeat. */
	onLoans(loans: Loans, end: number): void {
		this.loanEnd = Math.max(this.loanEnd, end)
		this.isBeatPending = false
		if (loans.grant >= this.grant) {
			this.grant = loans.grant
			this.pool.update(loans.loans)
		}
		this.drain()
	}

	stop(): void {
		this.timer.cancel()
	}

	private enqueue(pending: PendingRequest): void {
		const wait = this.expectedWait()
		const left = pending.request.deadline - this.parts.clock.now()
		if (this.waiting.length >= MAX_WAITING || wait > left * MAX_WAIT_SHARE) {
			pending.request.refuse(Outcome.NotRun, Problem.Overloaded, wait)
			return
		}
		this.waiting.push(pending)
		this.requestSlots()
	}

	/** Sends an early heartbeat to request slots, unless one is already awaiting its reply. */
	private requestSlots(): void {
		if (this.isBeatPending) return
		this.isBeatPending = true
		this.parts.sendBeat()
	}

	private drain(): void {
		let next = 0
		while (next < this.waiting.length && this.tryStart(this.waiting[next])) next += 1
		if (next > 0) this.waiting = this.waiting.slice(next)
	}

	private tryStart(pending: PendingRequest): boolean {
		if (pending.request.isAnswered) return true
		if (!this.canUseLoan()) return false
		const slot = this.pool.acquire(pending.avoidedWorker)
		if (!slot) return false
		this.start(pending, slot)
		return true
	}

	private start(pending: PendingRequest, slot: AcquiredSlot): void {
		const { clock, workers, metrics } = this.parts
		const { request } = pending
		const startedAt = clock.now()
		pending.attempts += 1
		if (pending.attempts === 1) metrics.timing(Metric.RequestWait, startedAt - request.arrivedAt)
		else metrics.count(Metric.Retries)
		const timeout = Math.max(1, request.deadline - startedAt)
		const { method, path, body } = request
		const headers = request.headersFor({ attempt: pending.attempts, fence: 0, timeout })
		const call = { address: slot.address, method, path, headers, body, timeout }
		const attempt = workers.call(call, (result) => {
			this.attempts.delete(attempt)
			this.onAttemptEnd(pending, slot, result, clock.now() - startedAt)
		})
		this.attempts.add(attempt)
	}

	private onAttemptEnd(
		pending: PendingRequest,
		slot: AcquiredSlot,
		result: AttemptResult,
		span: number
	): void {
		const { request } = pending
		const answer = result.end === CallOutcome.Answered ? result.answer : undefined
		this.pool.release(slot.worker, answer ? span : undefined)
		this.recordResult(slot.worker, request.customer, result)
		if (answer) {
			this.serviceTime += (span - this.serviceTime) * SERVICE_TIME_WEIGHT
			request.answer(answer)
		} else {
			pending.started ||= result.end !== CallOutcome.NotStarted
			pending.avoidedWorker = slot.worker
			this.retry(pending, result)
		}
		this.drain()
	}

	private retry(pending: PendingRequest, result: AttemptResult): void {
		const { request } = pending
		if (request.isAnswered) return
		const now = this.parts.clock.now()
		const isFree = result.end === CallOutcome.NotStarted
		const canRetry = now < request.deadline && pending.attempts < MAX_ATTEMPTS
		if (canRetry && (isFree || this.budget.trySpend())) {
			if (!this.tryStart(pending)) this.enqueue(pending)
			return
		}
		const problem = now >= request.deadline ? Problem.TimedOut : Problem.WorkerSilent
		request.refuse(pending.started ? Outcome.Unknown : Outcome.NotRun, problem, RETRY_AFTER_MS)
	}

	private recordResult(worker: string, customer: string, result: AttemptResult): void {
		const sign = this.signOf(worker)
		if (result.refusal === 'leaving') this.onWorkerLeaving(worker)
		else if (result.end === CallOutcome.NotStarted) return
		else if (result.answer && result.answer.status < 500) sign.succeeded += 1
		else sign.failedFor.push(customer)
	}

	private removeWaiting(pending: PendingRequest): void {
		const position = this.waiting.indexOf(pending)
		if (position >= 0) this.waiting.splice(position, 1)
	}

	private tick(): void {
		const now = this.parts.clock.now()
		this.budget.share = this.parts.retryShare()
		if (now >= this.loanEnd - LOAN_MARGIN_MS) this.abandonAttempts()
		this.expireWaiting(now)
		this.returnIdleSlots(now)
		this.drain()
		if (this.waiting.length > 0) this.requestSlots()
		this.parts.metrics.gauge(Metric.SlotsLent, this.pool.size)
		this.parts.metrics.gauge(Metric.SlotsUsed, this.pool.used)
	}

	/** Abandons all attempts, because the loan is about to end and none may outlive it. */
	private abandonAttempts(): void {
		for (const attempt of this.attempts) attempt.abandon()
	}

	private expireWaiting(now: number): void {
		const reachable = this.parts.isReachable()
		if (reachable && this.waiting.every((pending) => pending.request.deadline > now)) return
		this.waiting = this.waiting.filter((pending) => {
			if (pending.request.deadline > now && reachable) return true
			const outcome = pending.started ? Outcome.Unknown : Outcome.NotRun
			const problem = reachable ? Problem.NoWorker : Problem.HomeUnreachable
			pending.request.refuse(outcome, problem, RETRY_AFTER_MS)
			return false
		})
	}

	private returnIdleSlots(now: number): void {
		this.peakDemand = Math.max(this.peakDemand, this.pool.used + this.waiting.length)
		if (now - this.peakSince < IDLE_WINDOW_MS) return
		const idle = this.pool.size - this.peakDemand - IDLE_SLOT_RESERVE
		if (idle > 0) this.pool.returnIdle(idle)
		this.peakDemand = 0
		this.peakSince = now
	}

	private canUseLoan(): boolean {
		return this.parts.clock.now() < this.loanEnd - LOAN_MARGIN_MS
	}

	private expectedWait(): number {
		return (this.waiting.length * this.serviceTime) / Math.max(1, this.pool.size)
	}

	private signOf(worker: string): Sign {
		let sign = this.signs.get(worker)
		if (!sign) {
			sign = { leaving: false, succeeded: 0, failedFor: [] }
			this.signs.set(worker, sign)
		}
		return sign
	}
}
