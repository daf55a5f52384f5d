/** One data centre's group at work: its replica, its state, and the desk while it leads. */
import {
	DataCentreDesk,
	DataCentreState,
	encodeDataCentreCommand,
	type Applied,
	type ListedWorker,
	type Moment,
	type OperatorCall,
	type ReplyTo,
} from '@rillrudder/cell'
import type { Group } from '@rillrudder/group'
import type { Event } from '@rillrudder/protocol'
import type { Configuration, GroupLayout } from '@rillrudder/settings'
import { Metric, type Log, type Metrics } from '@rillrudder/telemetry'
import { Mailbox, type Clock, type Random, type Timer } from '@rillrudder/utils'
import type { WorkerClient } from '../workers/WorkerClient'
import { openGroup } from './openGroup'

const TICK = 50

/** What a host works with. @internal */
export interface DataCentreHostParts {
	readonly self: string
	readonly layout: GroupLayout
	readonly data?: string
	readonly clock: Clock
	readonly random: Random
	readonly log: Log
	readonly metrics: Metrics
	readonly configuration: () => Configuration
	readonly send: (to: string, event: Event) => boolean
	readonly workers: WorkerClient
	readonly fail: (fault: Error) => void
}

type Step = (moment: Moment) => void

/**
 * One data centre's group in this process.
 *
 * @internal
 */
export class DataCentreHost {
	private readonly state: DataCentreState
	private readonly desk: DataCentreDesk
	private readonly mailbox = new Mailbox<Step>()
	private group!: Group
	private applied: Applied[] = []
	private timer: Timer | undefined

	constructor(private readonly parts: DataCentreHostParts) {
		this.state = new DataCentreState((applied) => this.applied.push(applied))
		const { layout, random, configuration } = parts
		const { name } = layout
		this.desk = new DataCentreDesk({ name, state: this.state, random, configuration })
	}

	/** Name of the data centre. */
	get name(): string {
		return this.parts.layout.name
	}

	/** The group, once started. */
	get replicaGroup(): Group {
		return this.group
	}

	/** Whether this process decides for the data centre. */
	get leads(): boolean {
		return this.desk.active
	}

	/** What the log says, for questions that need not be the newest. */
	get book(): DataCentreState {
		return this.state
	}

	async start(): Promise<void> {
		const { self, layout, data, clock, random, log, fail } = this.parts
		this.group = await openGroup({
			self,
			layout,
			data,
			machine: this.state,
			clock,
			random,
			log,
			fail,
			send: (to, message) => this.sendGroup(to, message),
			settled: () => this.settle(),
		})
		this.mailbox.serve(`desk ${this.name}`, (batch) => this.run(batch), fail)
		this.timer = clock.every(TICK, () => this.post((moment) => this.tick(moment)))
	}

	/** Takes an event from a peer; one that is for the leader is turned away elsewhere. */
	receive(from: string, event: Event): void {
		const body = event.body
		switch (body?.$case) {
			case 'group':
				return this.group.receive(body.value)
			case 'beat':
				return this.decide(from, '', '', (moment) => this.desk.beat(from, body.value, moment))
			case 'submit': {
				const { customer, key } = body.value
				return this.decide(from, customer, key, (moment) =>
					this.desk.submit(from, body.value, moment)
				)
			}
			case 'report':
				return this.decide(from, '', '', (moment) => this.desk.report(body.value, moment))
			case 'withdraw':
				return this.decide(from, '', '', (moment) => this.desk.withdraw(from, body.value, moment))
			default:
				return
		}
	}

	/** Takes an operator's call, or says who leads. */
	call(call: OperatorCall, reply: ReplyTo): void {
		this.post((moment) => {
			if (this.mayDecide()) this.desk.call(call, moment, reply)
			else reply({ code: 421, message: this.leader })
		})
	}

	/** Takes the platform's list. */
	list(workers: readonly ListedWorker[]): void {
		const here = workers.filter((worker) => worker.dataCentre === this.name)
		this.post((moment) => {
			if (this.mayDecide()) this.desk.list(here, moment)
		})
	}

	/** The configuration has changed. */
	configured(): void {
		this.post(() => this.desk.configured())
	}

	/** Hands leadership over, for a planned stop. */
	handOver(): void {
		this.group.handOver()
	}

	async stop(): Promise<void> {
		this.timer?.cancel()
		this.mailbox.close()
		await this.group.stop()
	}

	/** Who leads, as far as is known here. */
	get leader(): string {
		return this.group.replica.status.leader
	}

	private decide(from: string, customer: string, key: string, step: Step): void {
		this.post((moment) => {
			if (this.mayDecide()) {
				step(moment)
				return
			}
			const leader = this.leader === this.parts.self ? '' : this.leader
			const value = { group: this.name, leader, customer, key }
			this.parts.send(from, { body: { $case: 'redirect', value } })
		})
	}

	private post(step: Step): void {
		this.mailbox.post(step)
	}

	private run(batch: Step[]): void {
		const moment = this.moment()
		for (const step of batch) step(moment)
		this.carryOut()
	}

	private tick(moment: Moment): void {
		if (!this.mayDecide()) return
		this.desk.tick(moment)
		const { requestsOpen, tasksWaiting, tasksRunning, workersClosed } = this.desk.figures
		const { metrics } = this.parts
		metrics.gauge(Metric.RequestsOpen, requestsOpen, this.name)
		metrics.gauge(Metric.TasksWaiting, tasksWaiting, this.name)
		metrics.gauge(Metric.TasksRunning, tasksRunning, this.name)
		metrics.gauge(Metric.WorkersClosed, workersClosed, this.name)
	}

	/** Whether the desk decides now; the lease is looked at anew at every step. */
	private mayDecide(): boolean {
		return this.desk.active && this.group.mayAct
	}

	/** The group has taken a step: leadership may have moved, and commands may have been applied. */
	private settle(): void {
		if (!this.group) return
		this.followLeadership()
		if (!this.desk.active) {
			this.applied = []
			return
		}
		if (!this.group.mayAct) return
		const applied = this.applied
		this.applied = []
		const moment = this.moment()
		for (const one of applied) this.desk.applied(one, moment)
		this.parts.metrics.count(Metric.Commands, applied.length, this.name)
		this.carryOut()
	}

	private followLeadership(): void {
		const { leads, status } = this.group.replica
		const { log, metrics } = this.parts
		if (this.desk.active && !leads) {
			this.desk.resign()
			log.info('leadership-lost', { group: this.name, leader: status.leader })
		} else if (!this.desk.active && this.group.mayAct) {
			this.applied = []
			this.desk.takeOver(this.moment())
			metrics.count(Metric.LeadershipGained, 1, this.name)
			log.info('leadership-gained', { group: this.name, term: status.term })
		}
	}

	private carryOut(): void {
		if (this.desk.effects.empty) return
		const { commands, sendings, settles, exchanges } = this.desk.effects.take()
		if (commands.length > 0) this.group.propose(commands.map(encodeDataCentreCommand))
		for (const { to, event } of sendings) this.parts.send(to, event)
		this.parts.metrics.count(Metric.Exchanges, exchanges.length)
		for (const exchange of exchanges) {
			void this.parts.workers.exchange(exchange).then((reply) =>
				this.post((moment) => {
					if (!this.mayDecide()) return
					if (reply) this.desk.reply(exchange.worker, reply, moment)
					else this.desk.silent(exchange.worker)
				})
			)
		}
		for (const settle of settles) {
			const { customer, key, fence } = settle
			void this.parts.workers.settle(settle).then((reply) =>
				this.post((moment) => {
					if (reply && this.mayDecide()) this.desk.settled(customer, key, fence, reply, moment)
				})
			)
		}
	}

	private sendGroup(to: string, message: Extract<Event['body'], { $case: 'group' }>['value']) {
		this.parts.send(to, { body: { $case: 'group', value: message } })
	}

	private moment(): Moment {
		const { clock } = this.parts
		const { term } = this.group.replica.status
		return { now: clock.now(), at: clock.date().getTime(), term }
	}
}
