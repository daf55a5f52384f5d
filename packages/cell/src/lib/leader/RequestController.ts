/**
 * Serves requests that are not repeatable: each customer's one after another, each started at most
 * once. Nothing is started before its start is committed, and nothing is answered before its end is.
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

/** Bounds on what may wait. @public */
export interface RequestLimits {
	/** Requests that wait in the data centre. */
	readonly queue: number
	/** @returns requests of one customer that may wait. */
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
	/** Requests for which a command is under way. */
	private readonly inFlight = new Set<string>()
	/** Requests whose start follows their admission in one batch. */
	private readonly chained = new Set<string>()
	/** Customers whose oldest request waits for a slot, the longest wait first. */
	private readonly starved = new Set<string>()
	private readonly unresolved: UnresolvedAttempts
	/** When this leader last said that a request may go; such an attempt is never taken back unasked. */
	private readonly goSentAt = new Map<string, number>()
	/** An attempt that was taken back is followed by the next one only after a pause that grows. */
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

	/** Starts to serve what leaders before this one have admitted. */
	takeOver(moment: Moment): void {
		this.clear()
		this.leaderSince = moment.now
	}

	/** Forgets what only a leader needs. */
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

	/** Takes a request, new or sent again. */
	onSubmit(from: string, submit: Submit, moment: Moment): void {
		const { customer, key } = submit
		const record = this.state.requests.find(customer, key)
		if (record && record.phase !== RequestPhase.Parked) this.resubmit(from, submit, record, moment)
		else if (record && record.digest !== submit.digest) this.refuseReuse(from, submit)
		else if (!this.homes.owns(customer)) this.redirectHome(from, submit)
		else if (this.inFlight.has(formatRequestId(submit))) this.waiters.add(from, submit, moment.now)
		else this.admit(from, submit, moment)
	}

	/** Takes an entry instance's word on how an attempt ended. */
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

	/** The caller no longer waits; what has started runs on. */
	onWithdraw(from: string, withdraw: Withdraw, moment: Moment): void {
		this.waiters.removeProcess(from, withdraw)
		if (this.waiters.has(withdraw)) return
		const record = this.state.requests.find(withdraw.customer, withdraw.key)
		if (record?.phase === RequestPhase.Admitted) this.park(record, moment)
	}

	/** Takes a worker's word on an attempt that was in doubt. */
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

	/** A life is over for certain: what it may have started is in doubt. */
	onHolderReplaced(incarnationId: string, moment: Moment): void {
		for (const record of this.state.requests.allOpen()) {
			if (record.holder === incarnationId && record.phase === RequestPhase.Started) {
				this.unresolved.addAfterHolderLoss(record, moment.now)
			}
		}
	}

	/** Deadlines, silent holders, and what can start now. */
	tick(moment: Moment): void {
		this.expire(moment)
		for (const record of this.state.requests.allOpen()) this.checkHolder(record, moment)
		for (const record of this.unresolved.tick(moment.now)) {
			const problem = Problem.WorkerSilent
			this.finish(record, { outcome: Outcome.Unknown, problem }, moment)
		}
		this.startStarved(moment)
	}

	/** A request was admitted. */
	onAdmitted(command: CommandOf<'admit'>, hasEffect: boolean, moment: Moment): void {
		if (this.chained.has(formatRequestId(command))) return
		this.inFlight.delete(formatRequestId(command))
		if (hasEffect) this.advance(command.customer, moment)
	}

	/** A start was committed: the holder may go, and nobody else ever for this attempt. */
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

	/** An attempt was taken back. */
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

	/** A request has ended, and its end is lasting. */
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

	/** A request that nobody waits for has left the queue; it is taken up again if it is sent again. */
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
	 * The holder has not begun the attempt. It honours no word of an earlier leader any more only once it
	 * says so by naming this leader's term; a word of the one before may still be on its way to it.
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

	/** What is shed is not run; a key that somebody may send again is kept as not run. */
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

	/** The caller's time is over, so it is not started any more. */
	private finishIfTimedOut(record: RequestRecord, moment: Moment): boolean {
		if (!this.waiters.hasTimedOut(record, moment.now)) return false
		const problem = this.starved.has(record.customer) ? Problem.NoWorker : Problem.TimedOut
		this.finish(record, { outcome: Outcome.NotRun, problem }, moment)
		return true
	}

	/** @returns false when no worker has a slot. */
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

	/** The customer's next request starts in the same batch in which its oldest ends. */
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

	/** A process that has the body and was heard recently enough to start it in time. */
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
	 * The word may have been lost; the holder honours it once, or says how the attempt stands. It is not
	 * said while the attempt is being taken back or ended.
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

	/** A start that is taken back, or an admission that does not count, leaves the caller's time over. */
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

	/** WorkerPolls after a request whose holder has gone silent, or has not heard that it may go. */
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

	/** The home is elsewhere, or is on its way here; then the entry instance asks again. */
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
