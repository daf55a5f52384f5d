/**
 * The leader's decisions for one data centre: it handles events and ticks, and collects effects. It is
 * inactive while its replica does not lead, and discards leader-only state when it stops leading.
 */
import type { Beat, Report, Submit, Withdraw } from '@rillrudder/protocol'
import { WorkerHealth } from '@rillrudder/scheduler'
import type { InForce } from '@rillrudder/settings'
import type { Random } from '@rillrudder/utils'
import type { AppliedCommand, DataCentreState } from '../state/DataCentreState'
import { Effects, type GroupCall, type Moment } from './Effects'
import { EntryIncarnations } from './EntryIncarnations'
import { HomeController } from './HomeController'
import { LoanController } from './LoanController'
import type { OperatorCall, OperatorReply } from './operatorCalls'
import { OperatorController, type ReplyCallback } from './OperatorController'
import { PlanController } from './PlanController'
import { RequestController } from './RequestController'
import { SlotSelector } from './SlotSelector'
import { TaskController } from './TaskController'
import { WorkerController, type ListedWorker } from './WorkerController'
import type { ExchangeReply, SettleReply } from './workerProtocol'

const FORGET_INTERVAL_MS = 10_000

/** The dependencies of a controller. @public */
export interface ControllerParts {
	/** Name of the data centre. */
	readonly name: string
	readonly state: DataCentreState
	readonly random: Random
	/** All data centres. */
	readonly dataCentres: readonly string[]
	/** @returns the configuration and the fences in force. */
	readonly inForce: () => InForce
}

/**
 * The controller of one data centre.
 *
 * @public
 */
export class DataCentreController {
	readonly effects = new Effects()
	readonly health = new WorkerHealth()
	private readonly holders = new EntryIncarnations()
	private readonly slots: SlotSelector
	private readonly requests: RequestController
	private readonly loans: LoanController
	private readonly tasks: TaskController
	private readonly workers: WorkerController
	private readonly operators: OperatorController
	private readonly homes: HomeController
	private leading = false
	private nextForgetAt = 0

	/** @param parts - the replicated state and other dependencies. */
	constructor(private readonly parts: ControllerParts) {
		const { name, dataCentres, state, random, inForce } = parts
		const configuration = () => inForce().configuration
		const { effects, holders } = this
		this.slots = new SlotSelector(state.workers, this.health, random)
		this.homes = new HomeController(name, dataCentres, state, effects, inForce)
		this.requests = new RequestController(state, holders, this.slots, effects, this.homes, () =>
			this.limits()
		)
		this.loans = new LoanController(name, state, holders, this.slots, effects)
		this.tasks = new TaskController(state, effects, random, configuration)
		this.workers = new WorkerController(state, effects, configuration)
		const usage = (team: string) => this.tasks.placement.usageOf(team)
		const plans = new PlanController(() => this.tasks.ledger, configuration, usage)
		const whyWaiting = (task: string) => this.tasks.whyWaiting(task)
		this.operators = new OperatorController(state, plans, effects, whyWaiting)
	}

	/** Whether this controller is active, that is, its replica leads. */
	get isActive(): boolean {
		return this.leading
	}

	/** Values for metrics. */
	get stats() {
		const { requests } = this.parts.state
		const { waitingCount, runningCount: tasksRunning } = this.tasks.placement
		return {
			requestsOpen: requests.open,
			tasksWaiting: waitingCount,
			tasksRunning,
			entries: this.holders.size,
			workersClosed: this.health.closed,
		}
	}

	/** Handles the start of leadership. The replica must have applied all entries committed before. */
	takeOver(moment: Moment): void {
		this.leading = true
		this.holders.clear()
		this.slots.clear()
		this.loans.clear()
		this.workers.clear()
		this.homes.clear()
		this.requests.takeOver(moment)
		this.tasks.takeOver(moment)
	}

	/** Handles the end of leadership: drops pending effects and all leader-only state. */
	stepDown(): void {
		this.leading = false
		this.effects.take()
		this.holders.clear()
		this.slots.clear()
		this.loans.clear()
		this.workers.clear()
		this.homes.clear()
		this.requests.clear()
		this.tasks.clear()
		this.operators.clear()
	}

	/** Handles a change of the configuration. */
	onConfigurationChanged(): void {
		if (this.leading) this.tasks.onConfigurationChanged()
	}

	/** Handles a heartbeat of an entry instance. */
	onHeartbeat(from: string, beat: Beat, moment: Moment): void {
		const { holder, replaced } = this.holders.onHeartbeat(from, beat, moment.now)
		if (replaced) this.requests.onHolderReplaced(replaced.incarnationId, moment)
		for (const sign of beat.signs) {
			if (sign.leaving) this.workers.onLeaving(sign.worker, 'it refused work', moment)
			for (const customer of sign.failedFor)
				this.health.onFailure(sign.worker, customer, moment.now)
			for (let count = sign.succeeded; count > 0; count--)
				this.health.onSuccess(sign.worker, moment.now)
		}
		this.loans.onHeartbeat(holder, beat, moment)
	}

	/** Handles a submitted request. */
	onSubmit(from: string, submit: Submit, moment: Moment): void {
		this.requests.onSubmit(from, submit, moment)
	}

	/** Handles an entry instance's report on the end of an attempt. */
	onReport(from: string, report: Report, moment: Moment): void {
		if (report.refusal === 'leaving') this.onLeavingRefusal(report, moment)
		this.requests.onReport(from, report, moment)
	}

	/** Handles a caller that no longer waits for its request. */
	onWithdraw(from: string, withdraw: Withdraw, moment: Moment): void {
		this.requests.onWithdraw(from, withdraw, moment)
	}

	/** Handles a worker's reply about an attempt whose outcome is unknown. */
	onSettleReply(
		customer: string,
		key: string,
		fence: number,
		reply: SettleReply,
		moment: Moment
	): void {
		this.requests.onSettleReply(customer, key, fence, reply, moment)
	}

	/** Handles a worker's report on its tasks. */
	onExchangeReply(worker: string, reply: ExchangeReply, moment: Moment): void {
		if (reply.leaving) this.workers.onLeaving(worker, 'it says so', moment)
		this.tasks.onExchangeReply(worker, reply, moment)
		for (const one of reply.ended) {
			const intent = this.parts.state.tasks.find(one.task)?.task.intent ?? one.task
			if (one.result === 'failed') this.health.onFailure(worker, intent, moment.now)
			else if (one.result === 'done') this.health.onSuccess(worker, moment.now)
		}
	}

	/** Handles an exchange that a worker did not answer. */
	onExchangeFailed(worker: string): void {
		this.tasks.onExchangeFailed(worker)
	}

	/** Handles a list of workers from the platform. */
	onWorkerList(workers: readonly ListedWorker[], moment: Moment): void {
		this.workers.onWorkerList(workers, moment)
	}

	/** Handles an operator's call. */
	onOperatorCall(call: OperatorCall, moment: Moment, reply: ReplyCallback): void {
		if (call.kind === 'take-home') this.homes.onClaim(call, moment, reply)
		else this.operators.onCall(call, moment, reply)
	}

	/** Handles another data centre's reply to a claim of a customer's home. */
	onClaimReply(call: GroupCall, reply: OperatorReply): void {
		this.homes.onClaimReply(call.call, call.group, reply)
	}

	/** Runs the periodic work of all controllers. */
	tick(moment: Moment): void {
		this.homes.tick(moment)
		this.requests.tick(moment)
		this.loans.tick(moment)
		for (const worker of this.parts.state.workers.all()) {
			this.tasks.setHealthy(worker.id, this.health.isOpen(worker.id, moment.now))
		}
		this.tasks.tick(moment)
		this.proposeForget(moment)
	}

	/** Handles a command that was committed and applied. */
	onCommandApplied(applied: AppliedCommand, moment: Moment): void {
		const { command, hasEffect } = applied
		switch (command.kind) {
			case 'admit':
				return this.requests.onAdmitted(command, hasEffect, moment)
			case 'start':
				return this.requests.onStarted(command, hasEffect, moment)
			case 'unstart':
				return this.requests.onUnstarted(command, moment)
			case 'park':
				return this.requests.onParked(command, hasEffect, moment)
			case 'finish':
				return this.requests.onFinished(command, moment)
			case 'lend':
				return this.loans.onLoanChanged(command, moment)
			case 'worker':
				this.workers.onWorkerChanged(command.id)
				return this.onWorkerChanged(command.id, moment)
			case 'drain':
				this.onWorkerChanged(command.worker, moment)
				return this.operators.onCommitted(command)
			case 'confirm':
				if (hasEffect) this.tasks.onConfirmed(this.waitingTasksOf(command.plan))
				return this.operators.onCommitted(command)
			case 'cancel':
				if (hasEffect) this.tasks.onCancelled(this.parts.state.tasks.ofIntent(command.intent))
				return this.operators.onCommitted(command)
			case 'place':
				return this.tasks.onPlaced(command, hasEffect)
			case 'unplace':
				return this.tasks.onUnplaced(command)
			case 'throttle':
				return this.tasks.onThrottled(command)
			case 'plan':
			case 'reject':
			case 'close-home':
				return this.operators.onCommitted(command)
			case 'open-home':
				return this.homes.onHomeOpened(command.customer)
			case 'forget':
				return
		}
	}

	private onLeavingRefusal(report: Report, moment: Moment): void {
		const record = this.parts.state.requests.find(report.customer, report.key)
		const same = record?.attempt === report.attempt
		if (record && same) this.workers.onLeaving(record.worker, 'it refused work', moment)
	}

	private onWorkerChanged(id: string, moment: Moment): void {
		this.slots.refresh(moment.now)
		this.tasks.onWorkerChanged(id)
		if (!this.parts.state.workers.find(id)) this.health.forget(id)
	}

	private waitingTasksOf(plan: string) {
		const intent = this.parts.state.tasks.plan(plan)?.intent.name ?? ''
		const prefix = `${intent}/${plan}/`
		return this.parts.state.tasks
			.ofIntent(intent)
			.filter((record) => record.task.id.startsWith(prefix) && record.phase === 'waiting')
	}

	private proposeForget(moment: Moment): void {
		if (moment.now < this.nextForgetAt) return
		this.nextForgetAt = moment.now + FORGET_INTERVAL_MS
		const { keepAnswers, keepKeys, answerMemory } = this.parts.inForce().configuration.limits
		const answersBefore = moment.at - keepAnswers
		const keysBefore = moment.at - keepKeys
		if (!this.parts.state.requests.hasExpired(answersBefore, answerMemory)) return
		this.effects.commands.push({ kind: 'forget', answersBefore, keysBefore, answerMemory })
	}

	private limits() {
		const { limits, customers } = this.parts.inForce().configuration
		return {
			queue: limits.queue,
			customerQueue: (name: string) =>
				customers.find((customer) => customer.name === name)?.queue ?? limits.customerQueue,
		}
	}
}
