/**
 * The leader's decisions for one data centre: events and moments go in, effects come out. It does
 * nothing while its replica does not lead, and forgets what only a leader needs when it stops leading.
 */
import type { Beat, Report, Submit, Withdraw } from '@rillrudder/protocol'
import { WorkerHealth } from '@rillrudder/scheduler'
import type { InForce } from '@rillrudder/settings'
import type { Random } from '@rillrudder/utils'
import type { Applied, DataCentreState } from '../state/DataCentreState'
import { Effects, type GroupCall, type Moment } from './Effects'
import { Holders } from './Holders'
import { HomeController } from './HomeController'
import { LoanController } from './LoanController'
import type { OperatorCall, OperatorReply } from './operatorCalls'
import { OperatorController, type ReplyTo } from './OperatorController'
import { PlanController } from './PlanController'
import { RequestController } from './RequestController'
import { SlotChoice } from './SlotChoice'
import { TaskController } from './TaskController'
import { WorkerController, type ListedWorker } from './WorkerController'
import type { ExchangeReply, SettleReply } from './workerProtocol'

const FORGET_EVERY = 10_000

/** What a controller decides with. @public */
export interface ControllerParts {
	/** Name of the data centre. */
	readonly name: string
	readonly state: DataCentreState
	readonly random: Random
	/** All data centres. */
	readonly dataCentres: readonly string[]
	/** @returns what is in force. */
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
	private readonly holders = new Holders()
	private readonly slots: SlotChoice
	private readonly requests: RequestController
	private readonly loans: LoanController
	private readonly tasks: TaskController
	private readonly workers: WorkerController
	private readonly operators: OperatorController
	private readonly homes: HomeController
	private leading = false
	private forgetDue = 0

	/** @param parts - the state and what else decisions need. */
	constructor(private readonly parts: ControllerParts) {
		const { name, dataCentres, state, random, inForce } = parts
		const configuration = () => inForce().configuration
		const { effects, holders } = this
		this.slots = new SlotChoice(state.workers, this.health, random)
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

	/** Whether this controller decides. */
	get active(): boolean {
		return this.leading
	}

	/** Numbers for metrics. */
	get figures() {
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

	/** Its replica has begun to lead, and has applied everything that was committed before. */
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

	/** Its replica no longer leads. */
	resign(): void {
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

	/** The configuration has changed. */
	configured(): void {
		if (this.leading) this.tasks.configured()
	}

	/** Takes a heartbeat of an entry instance. */
	beat(from: string, beat: Beat, moment: Moment): void {
		const { holder, replaced } = this.holders.hear(from, beat, moment.now)
		if (replaced) this.requests.holderGone(replaced.life, moment)
		for (const sign of beat.signs) {
			if (sign.leaving) this.workers.leaving(sign.worker, 'it refused work', moment)
			for (const customer of sign.failedFor)
				this.health.onFailure(sign.worker, customer, moment.now)
			for (let count = sign.succeeded; count > 0; count--) this.health.onSuccess(sign.worker)
		}
		this.loans.beat(holder, beat, moment)
	}

	/** Takes a request. */
	submit(from: string, submit: Submit, moment: Moment): void {
		this.requests.submit(from, submit, moment)
	}

	/** Takes the end of an attempt. */
	report(from: string, report: Report, moment: Moment): void {
		if (report.refusal === 'leaving') this.refusedLeaving(report, moment)
		this.requests.report(from, report, moment)
	}

	/** The caller no longer waits. */
	withdraw(from: string, withdraw: Withdraw, moment: Moment): void {
		this.requests.withdraw(from, withdraw, moment)
	}

	/** Takes a worker's word on an attempt in doubt. */
	settled(customer: string, key: string, fence: number, reply: SettleReply, moment: Moment): void {
		this.requests.settled(customer, key, fence, reply, moment)
	}

	/** Takes a worker's report on its tasks. */
	reply(worker: string, reply: ExchangeReply, moment: Moment): void {
		if (reply.leaving) this.workers.leaving(worker, 'it says so', moment)
		this.tasks.reply(worker, reply, moment)
		for (const one of reply.ended) {
			const intent = this.parts.state.tasks.find(one.task)?.task.intent ?? one.task
			if (one.result === 'failed') this.health.onFailure(worker, intent, moment.now)
			else if (one.result === 'done') this.health.onSuccess(worker)
		}
	}

	/** A worker did not answer an exchange. */
	silent(worker: string): void {
		this.tasks.silent(worker)
	}

	/** Takes the platform's list of workers. */
	list(workers: readonly ListedWorker[], moment: Moment): void {
		this.workers.list(workers, moment)
	}

	/** Takes an operator's call. */
	call(call: OperatorCall, moment: Moment, reply: ReplyTo): void {
		if (call.kind === 'take-home') this.homes.claimed(call, moment, reply)
		else this.operators.call(call, moment, reply)
	}

	/** Takes another data centre's answer to a claim of a customer's home. */
	claimAnswered(call: GroupCall, reply: OperatorReply): void {
		this.homes.answered(call.call, call.group, reply)
	}

	/** Lets time pass. */
	tick(moment: Moment): void {
		this.homes.tick(moment)
		this.requests.tick(moment)
		this.loans.tick(moment)
		for (const worker of this.parts.state.workers.all()) {
			this.tasks.setHealthy(worker.id, this.health.isOpen(worker.id, moment.now))
		}
		this.tasks.tick(moment)
		this.forget(moment)
	}

	/** A command was committed and applied. */
	applied(applied: Applied, moment: Moment): void {
		const { command, counted } = applied
		switch (command.kind) {
			case 'admit':
				return this.requests.admitted(command, counted, moment)
			case 'start':
				return this.requests.started(command, counted, moment)
			case 'unstart':
				return this.requests.unstarted(command, moment)
			case 'park':
				return this.requests.parked(command, counted, moment)
			case 'finish':
				return this.requests.finished(command, moment)
			case 'lend':
				return this.loans.changed(command, moment)
			case 'worker':
				this.workers.changed(command.id)
				return this.workerChanged(command.id, moment)
			case 'drain':
				this.workerChanged(command.worker, moment)
				return this.operators.committed(command)
			case 'confirm':
				if (counted) this.tasks.confirmed(this.waitingTasksOf(command.plan))
				return this.operators.committed(command)
			case 'cancel':
				if (counted) this.tasks.cancelled(this.parts.state.tasks.ofIntent(command.intent))
				return this.operators.committed(command)
			case 'place':
				return this.tasks.placed(command, counted)
			case 'unplace':
				return this.tasks.unplaced(command)
			case 'throttle':
				return this.tasks.throttled(command)
			case 'plan':
			case 'reject':
			case 'close-home':
				return this.operators.committed(command)
			case 'open-home':
				return this.homes.opened(command.customer)
			case 'forget':
				return
		}
	}

	private refusedLeaving(report: Report, moment: Moment): void {
		const record = this.parts.state.requests.find(report.customer, report.key)
		const same = record?.attempt === report.attempt
		if (record && same) this.workers.leaving(record.worker, 'it refused work', moment)
	}

	private workerChanged(id: string, moment: Moment): void {
		this.slots.refresh(moment.now)
		this.tasks.workerChanged(id)
		if (!this.parts.state.workers.find(id)) this.health.forget(id)
	}

	private waitingTasksOf(plan: string) {
		const intent = this.parts.state.tasks.plan(plan)?.intent.name ?? ''
		const prefix = `${intent}/${plan}/`
		return this.parts.state.tasks
			.ofIntent(intent)
			.filter((record) => record.task.id.startsWith(prefix) && record.phase === 'waiting')
	}

	private forget(moment: Moment): void {
		if (moment.now < this.forgetDue) return
		this.forgetDue = moment.now + FORGET_EVERY
		const { keepAnswers, keepKeys, answerMemory } = this.parts.inForce().configuration.limits
		const answersBefore = moment.at - keepAnswers
		const keysBefore = moment.at - keepKeys
		if (!this.parts.state.requests.isDue(answersBefore, answerMemory)) return
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
