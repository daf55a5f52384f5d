/**
 * Serves requests that are not repeatable: sequentially for each customer, each started at most once.
 * No attempt starts before its start is committed, and no verdict is sent before the end is committed.
 */
import { AttemptEnd, type Report, type Submit, type Withdraw } from '@rillrudder/protocol'
import type { CommandOf } from '../commands/DataCentreCommand'
import { toStoredAnswer } from '../records/StoredAnswer'
import { Outcome, Problem } from '../records/Outcome'
import type { DataCentreState } from '../state/DataCentreState'
import { RequestPhase, type RequestRecord } from '../state/RequestTable'
import { UnresolvedAttempts } from './UnresolvedAttempts'
import type { Effects, Moment } from './Effects'
import type { EntryIncarnation, EntryIncarnations } from './EntryIncarnations'
import type { HomeController } from './HomeController'
import type { SlotSelector } from './SlotSelector'
import { addDriftMargin, START_WINDOW_MS } from './timing'
import { VerdictSender } from './VerdictSender'
import { formatRequestId, RequestWaiters } from './RequestWaiters'
import type { SettleReply } from './workerProtocol'

const GO_RESEND_INTERVAL_MS = 1000
const INITIAL_BACKOFF_MS = 10
const MAX_BACKOFF_DOUBLINGS = 7

/** Limits on waiting requests. @public */
export interface RequestLimits {
	/** Maximum number of open requests in the data centre. */
	readonly queue: number
	/** @returns the maximum number of open requests of a customer. */
	readonly customerQueue: (customer: string) => number
}

/**
 * The leader's controller for requests that are not repeatable.
 *
 * @internal
 */
export class RequestController {
	private readonly waiters = new RequestWaiters()
	private readonly verdicts: VerdictSender
	/** Requests with a proposed command that is not yet applied. */
	private readonly inFlight = new Set<string>()
	/** Requests whose start was proposed in the same batch as their admission. */
	private readonly chained = new Set<string>()
	/** Customers whose oldest request waits for a slot or a backoff, the longest wait first. */
	private readonly starved = new Set<string>()
	private readonly unresolved: UnresolvedAttempts
	/**
	 * When this leader last sent `go` for a request. Such an attempt is reverted only when its holder or
	 * its worker reports that it did not start.
	 */
	private readonly goSentAt = new Map<string, number>()
	/** Earliest time of the next attempt after a reverted one, with exponential backoff. */
	private readonly earliestStartAt = new Map<string, number>()
	private leaderSince = 0

	constructor(
		private readonly state: DataCentreState,
		private readonly holders: EntryIncarnations,
		private readonly slots: SlotSelector,
		private readonly effects: Effects,
		private readonly homes: HomeController,
		private readonly limits: () => RequestLimits
	) {
		this.unresolved = new UnresolvedAttempts(state, effects)
		this.verdicts = new VerdictSender(state.requests, effects)
	}

	/** Handles the start of leadership: serves what earlier leaders have admitted. */
	takeOver(moment: Moment): void {
		this.clear()
		this.leaderSince = moment.now
	}

	/** Discards leader-only state. */
	clear(): void {
		this.waiters.clear()
		this.verdicts.clear()
		this.inFlight.clear()
		this.chained.clear()
		this.starved.clear()
		this.unresolved.clear()
		this.goSentAt.clear()
		this.earliestStartAt.clear()
	}

	/** Handles a submitted request, new or sent again. */
	onSubmit(from: string, submit: Submit, moment: Moment): void {
		const { customer, key } = submit
		const record = this.state.requests.find(customer, key)
		if (record && record.phase !== RequestPhase.Parked) this.resubmit(from, submit, record, moment)
		else if (record && record.digest !== submit.digest) this.refuseReuse(from, submit)
		else if (!this.homes.owns(customer)) this.redirectHome(from, submit)
		else if (this.inFlight.has(formatRequestId(submit))) this.waiters.add(from, submit, moment.now)
		else this.admit(from, submit, moment)
	}

	/** Handles an entry instance's report on how an attempt ended. */
	onReport(from: string, report: Report, moment: Moment): void {
		const record = this.state.requests.find(report.customer, report.key)
		if (!record || record.phase !== RequestPhase.Started || record.attempt !== report.attempt)
			return
		if (report.end === AttemptEnd.ATTEMPT_END_ANSWERED && report.answer) {
			const answer = toStoredAnswer(report.answer)
			this.finish(record, { outcome: Outcome.Ran, answer }, moment)
		} else if (report.end === AttemptEnd.ATTEMPT_END_NOT_STARTED) {
			this.unstart(record)
		} else if (report.end === AttemptEnd.ATTEMPT_END_ABSENT) {
			this.waiters.removeProcess(from, record)
			this.unstart(record)
		} else {
			this.unresolved.addAfterMissingAnswer(record, moment.now)
		}
	}

	/** Handles a caller that no longer waits. An attempt that has started runs on. */
	onWithdraw(from: string, withdraw: Withdraw, moment: Moment): void {
		this.waiters.removeProcess(from, withdraw)
		if (this.waiters.has(withdraw)) return
		const record = this.state.requests.find(withdraw.customer, withdraw.key)
		if (record?.phase === RequestPhase.Admitted) this.park(record, moment)
	}

	/** Handles a worker's reply about an attempt whose outcome is unknown. */
	onSettleReply(
		customer: string,
		key: string,
		fence: number,
		reply: SettleReply,
		moment: Moment
	): void {
		const record = this.state.requests.find(customer, key)
		if (!record || record.phase !== RequestPhase.Started || record.fence !== fence) return
		switch (reply.state) {
			case 'ran': {
				const { status, headers, body } = reply
				this.finish(record, { outcome: Outcome.Ran, answer: { status, headers, body } }, moment)
				return
			}
			case 'never':
				return this.unstart(record)
			case 'running':
				return this.unresolved.extend(record, moment.now)
		}
	}

	/** Handles an incarnation that has certainly ended: the outcome of its attempts is unknown. */
	onHolderReplaced(incarnationId: string, moment: Moment): void {
		for (const record of this.state.requests.allOpen()) {
			if (record.holder === incarnationId && record.phase === RequestPhase.Started) {
				this.unresolved.addAfterHolderLoss(record, moment.now)
			}
		}
	}

	/** Handles passed deadlines and holders without heartbeat, and starts requests that can start. */
	tick(moment: Moment): void {
		this.expire(moment)
		for (const record of this.state.requests.allOpen()) this.checkHolder(record, moment)
		for (const record of this.unresolved.tick(moment.now)) {
			const problem = Problem.WorkerSilent
			this.finish(record, { outcome: Outcome.Unknown, problem }, moment)
		}
		this.startStarved(moment)
	}

	/** Handles the commit of an admission. */
	onAdmitted(command: CommandOf<'admit'>, hasEffect: boolean, moment: Moment): void {
		if (this.chained.has(formatRequestId(command))) return
		this.inFlight.delete(formatRequestId(command))
		if (hasEffect) this.advance(command.customer, moment)
	}

	/** Handles the commit of a start: only its holder may ever make this attempt. */
	onStarted(command: CommandOf<'start'>, hasEffect: boolean, moment: Moment): void {
		this.inFlight.delete(formatRequestId(command))
		this.chained.delete(formatRequestId(command))
		this.slots.release(command.worker)
		const record = this.state.requests.find(command.customer, command.key)
		if (!hasEffect || !record) return this.advance(command.customer, moment)
		this.verdicts.onStarted(command, moment.now)
		const holder = this.holders.find(command.holder)
		if (holder) this.sendGo(record, holder, moment)
	}

	/** Handles the commit of a reverted attempt. */
	onUnstarted(command: CommandOf<'unstart'>, moment: Moment): void {
		const name = formatRequestId(command)
		this.inFlight.delete(name)
		this.goSentAt.delete(name)
		this.verdicts.onUnstarted(command)
		const backoffMs = INITIAL_BACKOFF_MS * 2 ** Math.min(command.attempt - 1, MAX_BACKOFF_DOUBLINGS)
		this.earliestStartAt.set(name, moment.now + backoffMs)
		this.advance(command.customer, moment)
		this.startStarved(moment)
	}

	/** Handles the commit of the end of a request. */
	onFinished(command: CommandOf<'finish'>, moment: Moment): void {
		const name = formatRequestId(command)
		this.inFlight.delete(name)
		this.goSentAt.delete(name)
		this.earliestStartAt.delete(name)
		this.verdicts.onFinished(command, moment.now)
		const record = this.state.requests.find(command.customer, command.key)
		const processes = this.waiters.processesFor(command)
		this.waiters.remove(command)
		if (record) for (const process of processes) this.verdicts.sendOutcome(process, record)
		this.advance(command.customer, moment)
		this.startStarved(moment)
	}

	/** Handles a request that left the queue because nobody waits; it is admitted again if resent. */
	onParked(command: CommandOf<'park'>, hasEffect: boolean, moment: Moment): void {
		this.inFlight.delete(formatRequestId(command))
		if (hasEffect && !this.waiters.has(command)) this.waiters.remove(command)
		this.advance(command.customer, moment)
	}

	private admit(from: string, submit: Submit, moment: Moment): void {
		if (this.isOverloaded(submit)) {
			this.shed(from, submit, moment)
			return
		}
		const holder = this.holders.currentOf(from)
		if (!holder) return
		this.waiters.add(from, submit, moment.now)
		this.inFlight.add(formatRequestId(submit))
		const { customer, key, digest, timeoutMs } = submit
		this.effects.commands.push({
			kind: 'admit',
			customer,
			key,
			digest,
			holder: holder.incarnationId,
			timeout: timeoutMs,
			at: moment.at,
		})
		if (this.state.requests.openOf(customer) > 0) return
		const attempt = this.state.requests.find(customer, key)?.attempt ?? 0
		if (this.proposeStart({ customer, key, attempt, worker: '' }, holder, moment)) {
			this.chained.add(formatRequestId(submit))
		}
	}

	private resubmit(from: string, submit: Submit, record: RequestRecord, moment: Moment): void {
		if (record.digest !== '' && record.digest !== submit.digest) {
			this.refuseReuse(from, submit)
			return
		}
		if (record.phase === RequestPhase.Finished) {
			this.verdicts.sendOutcome(from, record)
			return
		}
		this.waiters.add(from, submit, moment.now)
		if (record.phase === RequestPhase.Started) this.reconcile(from, submit, record, moment)
		else this.advance(submit.customer, moment)
	}

	/**
	 * Reverts an attempt that its holder has not started. This is safe only once the holder names this
	 * leader's term, since it then ignores an earlier leader's `go` that may still be in transit.
	 */
	private reconcile(from: string, submit: Submit, record: RequestRecord, moment: Moment): void {
		if (submit.term !== moment.term) return
		const isSameHolder = this.holders.currentOf(from)?.incarnationId === record.holder
		const isGoSent = this.goSentAt.has(formatRequestId(submit))
		if (isSameHolder && !isGoSent && submit.runningAttempt !== record.attempt) this.unstart(record)
	}

	private isOverloaded(submit: Submit): boolean {
		const { queue, customerQueue } = this.limits()
		if (this.state.requests.open >= queue) return true
		if (this.state.requests.openOf(submit.customer) >= customerQueue(submit.customer)) return true
		return this.verdicts.estimateWait(submit.customer) > submit.timeoutMs
	}

	/** Refuses a request because of overload. A key chosen by the caller is recorded as not run. */
	private shed(from: string, submit: Submit, moment: Moment): void {
		const { customer, key, digest } = submit
		const problem = Problem.Overloaded
		if (!submit.callersKey) {
			this.verdicts.sendRefusal(from, submit, problem)
			return
		}
		this.waiters.add(from, submit, moment.now)
		this.inFlight.add(formatRequestId(submit))
		const outcome = Outcome.NotRun
		const at = moment.at
		this.effects.commands.push({ kind: 'finish', customer, key, digest, outcome, problem, at })
	}

	/** Starts the customer's oldest request if it can start. */
	private advance(customer: string, moment: Moment): void {
		const record = this.state.requests.head(customer)
		this.starved.delete(customer)
		if (record?.phase !== RequestPhase.Admitted || this.inFlight.has(formatRequestId(record)))
			return
		if (this.finishIfTimedOut(record, moment)) return
		const holder = this.holderFor(record, moment.now)
		if (!holder) return
		if (moment.now < (this.earliestStartAt.get(formatRequestId(record)) ?? 0)) {
			this.starved.add(customer)
			return
		}
		if (!this.proposeStart(record, holder, moment)) this.starved.add(customer)
	}

	/** Finishes a request as not run if its caller's deadline has passed. @returns whether it has. */
	private finishIfTimedOut(record: RequestRecord, moment: Moment): boolean {
		if (!this.waiters.hasTimedOut(record, moment.now)) return false
		const problem = this.starved.has(record.customer) ? Problem.NoWorker : Problem.TimedOut
		this.finish(record, { outcome: Outcome.NotRun, problem }, moment)
		return true
	}

	/** @returns false if no worker has a free slot. */
	private proposeStart(
		record: Pick<RequestRecord, 'customer' | 'key' | 'attempt' | 'worker'>,
		holder: EntryIncarnation,
		moment: Moment
	): boolean {
		const worker = this.slots.choose(moment.now, record.worker)
		if (!worker) return false
		this.slots.reserve(worker.id)
		this.inFlight.add(formatRequestId(record))
		const { customer, key, attempt } = record
		const start = {
			customer,
			key,
			attempt: attempt + 1,
			worker: worker.id,
			holder: holder.incarnationId,
		}
		this.effects.commands.push({ kind: 'start', ...start })
		return true
	}

	/** Proposes the start of the customer's next request in the batch that finishes its oldest. */
	private chainNext(customer: string, moment: Moment): void {
		const next = this.state.requests.next(customer)
		if (next?.phase !== RequestPhase.Admitted || this.inFlight.has(formatRequestId(next))) return
		const holder = this.holderFor(next, moment.now)
		if (holder) this.proposeStart(next, holder, moment)
	}

	private startStarved(moment: Moment): void {
		for (const customer of [...this.starved]) {
			if (!this.slots.choose(moment.now)) return
			this.advance(customer, moment)
		}
	}

	/** @returns a process that holds the body and sent a heartbeat recently enough to start in time. */
	private holderFor(record: RequestRecord, now: number): EntryIncarnation | undefined {
		for (const process of this.waiters.processesFor(record)) {
			const holder = this.holders.currentOf(process)
			if (holder && now - holder.lastHeartbeatAt < START_WINDOW_MS / 2) return holder
		}
		return undefined
	}

	private sendGo(record: RequestRecord, holder: EntryIncarnation, moment: Moment): void {
		this.goSentAt.set(formatRequestId(record), moment.now)
		const address = this.state.workers.find(record.worker)?.address ?? ''
		const { customer, key, attempt, worker, fence } = record
		const value = {
			customer,
			key,
			attempt,
			worker,
			address,
			fence,
			beat: holder.heartbeatSequence,
			term: moment.term,
			group: this.homes.name,
			incarnation: holder.incarnation,
		}
		this.effects.outgoingEvents.push({ to: holder.id, event: { body: { $case: 'go', value } } })
	}

	/**
	 * Sends `go` again, since it may have been lost. The holder acts on it once, or reports the state of
	 * the attempt. It is not sent while the attempt is being reverted or finished.
	 */
	private resendGo(record: RequestRecord, moment: Moment): void {
		const name = formatRequestId(record)
		if (this.inFlight.has(name)) return
		const dueAt = (this.goSentAt.get(name) ?? this.leaderSince) + GO_RESEND_INTERVAL_MS
		const holder = this.holders.find(record.holder)
		if (moment.now >= dueAt && holder) this.sendGo(record, holder, moment)
	}

	private unstart(record: RequestRecord): void {
		if (this.inFlight.has(formatRequestId(record))) return
		this.unresolved.remove(record)
		this.inFlight.add(formatRequestId(record))
		const { customer, key, attempt } = record
		this.effects.commands.push({ kind: 'unstart', customer, key, attempt })
	}

	private finish(
		record: RequestRecord,
		end: Pick<CommandOf<'finish'>, 'outcome' | 'problem' | 'answer'>,
		moment: Moment
	): void {
		if (this.inFlight.has(formatRequestId(record))) return
		this.unresolved.remove(record)
		this.inFlight.add(formatRequestId(record))
		const { customer, key } = record
		this.effects.commands.push({ kind: 'finish', customer, key, ...end, at: moment.at })
		if (this.state.requests.head(customer) === record) this.chainNext(customer, moment)
	}

	/**
	 * Finishes admitted requests whose caller's deadline has passed. All others that have not finished
	 * are checked again later, since their command may have no effect or their start may be reverted.
	 */
	private expire(moment: Moment): void {
		for (const waiter of this.waiters.takeDue(moment.now)) {
			const record = this.state.requests.find(waiter.customer, waiter.key)
			if (record?.phase === RequestPhase.Finished) continue
			const isWaiting =
				record?.phase === RequestPhase.Admitted && !this.inFlight.has(formatRequestId(record))
			if (isWaiting) this.finishIfTimedOut(record, moment)
			else this.waiters.recheckLater(waiter, moment.now)
		}
	}

	private park(record: RequestRecord, moment: Moment): void {
		if (this.inFlight.has(formatRequestId(record))) return
		this.inFlight.add(formatRequestId(record))
		const { customer, key } = record
		this.effects.commands.push({ kind: 'park', customer, key, at: moment.at })
	}

	/**
	 * Parks an admitted request that nobody waits for. For a started one, checks whether its holder has
	 * stopped sending heartbeats, and otherwise sends `go` again when due.
	 */
	private checkHolder(record: RequestRecord, moment: Moment): void {
		const { now } = moment
		if (record.phase === RequestPhase.Admitted) {
			const graceMs = addDriftMargin(START_WINDOW_MS)
			const isNewLeader = now - this.leaderSince < graceMs
			if (!isNewLeader && !this.waiters.has(record)) this.park(record, moment)
			return
		}
		if (this.unresolved.has(record)) return
		const silentMs = now - this.holders.lastHeartbeatOf(record.holder, now)
		if (silentMs > addDriftMargin(START_WINDOW_MS)) this.unresolved.addAfterHolderLoss(record, now)
		else this.resendGo(record, moment)
	}

	/** Redirects a request to its customer's home; if the home is moving here, starts to claim it. */
	private redirectHome(from: string, submit: Submit): void {
		const { customer, key } = submit
		const group = this.homes.homeOf(customer)
		if (group === submit.group) {
			this.homes.startClaim(customer)
			return
		}
		const value = { group, leader: '', customer, key }
		this.effects.outgoingEvents.push({ to: from, event: { body: { $case: 'redirect', value } } })
	}

	private refuseReuse(from: string, submit: Submit): void {
		this.verdicts.sendRefusal(from, submit, Problem.KeyReused)
	}
}
