/**
 * Joins a data centre's controller to its group and its surroundings: follows leadership, hands committed
 * commands to the controller, and carries its effects out only while its replica may act.
 */
import type { Event } from '@rillrudder/protocol'
import type { InForce } from '@rillrudder/settings'
import type { Random } from '@rillrudder/utils'
import { encodeDataCentreCommand } from '../commands/DataCentreCommand'
import { DataCentreState, type AppliedCommand } from '../state/DataCentreState'
import { DataCentreController } from './DataCentreController'
import type { GroupCall, Moment, SettleCall, WorkerExchange } from './Effects'
import type { OperatorCall, OperatorReply } from './operatorCalls'
import type { ReplyCallback } from './OperatorController'
import type { ListedWorker } from './WorkerController'
import type { ExchangeReply, SettleReply } from './workerProtocol'

/** The group as its driver sees it. @public */
export abstract class GroupAccess {
	/** Whether this replica leads. */
	abstract readonly leads: boolean
	/** Whether it holds the lease at this very moment and has applied all that is committed. */
	abstract readonly mayAct: boolean
	/** Who leads, as far as is known. */
	abstract readonly leader: string
	abstract readonly term: number
	/** Adds commands to the log. */
	abstract propose(commands: readonly Uint8Array[]): void
}

/** What is around a driver. @public */
export abstract class Environment {
	/** Monotonic milliseconds. */
	abstract now(): number
	/** Milliseconds since the epoch. */
	abstract at(): number
	abstract send(to: string, event: Event): void
	/** Calls a worker about its tasks; the reply goes to `LeaderDriver.replied`. */
	abstract exchange(exchange: WorkerExchange): void
	/** Asks a worker about an attempt; the word goes to `LeaderDriver.settled`. */
	abstract settle(call: SettleCall): void
	/** Calls the leader of another group; the reply goes to `LeaderDriver.claimAnswered`. */
	abstract callGroup(call: GroupCall): void
	/** Leadership was gained or lost. */
	abstract onLeadershipChanged(gained: boolean): void
}

/** What a driver is made with. @public */
export interface LeaderDriverParts {
	/** Name of the data centre. */
	readonly name: string
	/** This instance. */
	readonly self: string
	readonly random: Random
	readonly dataCentres: readonly string[]
	/** @returns what is in force. */
	readonly inForce: () => InForce
	readonly environment: Environment
}

type Step = (moment: Moment) => void

/** The HTTP status of a replica that does not lead. */
const NOT_THE_LEADER = 421

/**
 * The driver of one data centre's controller in one process.
 *
 * @public
 */
export class LeaderDriver {
	readonly state: DataCentreState
	private readonly controller: DataCentreController
	private group: GroupAccess | undefined
	private applied: AppliedCommand[] = []

	/** @param parts - identity and surroundings. */
	constructor(private readonly parts: LeaderDriverParts) {
		const { name, random, dataCentres, inForce } = parts
		this.state = new DataCentreState((applied) => this.applied.push(applied))
		this.controller = new DataCentreController({
			name,
			dataCentres,
			state: this.state,
			random,
			inForce,
		})
	}

	/** Joins the group, once it is open. */
	join(group: GroupAccess): void {
		this.group = group
	}

	/** Whether this process decides for the data centre. */
	get leads(): boolean {
		return this.controller.isActive
	}

	/** Numbers for metrics. */
	get stats() {
		return this.controller.stats
	}

	/** Takes an event of an entry instance, or says who leads. */
	receive(from: string, event: Event): void {
		const body = event.body
		switch (body?.$case) {
			case 'beat':
				return this.decideOrRedirect(from, '', '', (moment) =>
					this.controller.onHeartbeat(from, body.value, moment)
				)
			case 'submit': {
				const { customer, key } = body.value
				const step: Step = (moment) => this.controller.onSubmit(from, body.value, moment)
				return this.decideOrRedirect(from, customer, key, step)
			}
			case 'report':
				return this.decideOrRedirect(from, '', '', (moment) =>
					this.controller.onReport(from, body.value, moment)
				)
			case 'withdraw':
				return this.decideOrRedirect(from, '', '', (moment) =>
					this.controller.onWithdraw(from, body.value, moment)
				)
			default:
				return
		}
	}

	/** Takes an operator's call, or says who leads. */
	onOperatorCall(call: OperatorCall, reply: ReplyCallback): void {
		if (this.canDecide) this.controller.onOperatorCall(call, this.moment(), reply)
		else reply({ code: NOT_THE_LEADER, message: this.group?.leader ?? '' })
	}

	/** Takes the platform's list. */
	onWorkerList(workers: readonly ListedWorker[]): void {
		const here = workers.filter((worker) => worker.dataCentre === this.parts.name)
		if (this.canDecide) this.controller.onWorkerList(here, this.moment())
	}

	/** Takes a worker's reply; undefined when none came. */
	onExchangeReply(worker: string, reply: ExchangeReply | undefined): void {
		if (!this.canDecide) return
		if (reply) this.controller.onExchangeReply(worker, reply, this.moment())
		else this.controller.onExchangeFailed(worker)
	}

	/** Takes a worker's word on an attempt. */
	onSettleReply(call: SettleCall, reply: SettleReply): void {
		const { customer, key, fence } = call
		if (this.canDecide) this.controller.onSettleReply(customer, key, fence, reply, this.moment())
	}

	/** Takes another data centre's answer to a claim of a customer's home. */
	onClaimReply(call: GroupCall, reply: OperatorReply): void {
		if (this.canDecide) this.controller.onClaimReply(call, reply)
	}

	/** The configuration has changed. */
	onConfigurationChanged(): void {
		this.controller.onConfigurationChanged()
	}

	/** Lets time pass. */
	tick(): void {
		if (this.canDecide) this.controller.tick(this.moment())
	}

	/** The group has taken a step: leadership may have moved, and commands may have been applied. */
	followGroup(): number {
		this.followLeadership()
		if (!this.controller.isActive) this.applied = []
		if (!this.canDecide) return 0
		const applied = this.applied
		this.applied = []
		const moment = this.moment()
		for (const one of applied) this.controller.onCommandApplied(one, moment)
		return applied.length
	}

	/** Carries out what was decided. To be called after every step, before anything is waited for. */
	carryOut(): void {
		const { effects } = this.controller
		if (effects.isEmpty || !this.canDecide) return
		const { commands, outgoingEvents, settleCalls, exchanges, groupCalls } = effects.take()
		const { environment } = this.parts
		if (commands.length > 0) this.group?.propose(commands.map(encodeDataCentreCommand))
		for (const { to, event } of outgoingEvents) environment.send(to, event)
		for (const exchange of exchanges) environment.exchange(exchange)
		for (const call of settleCalls) environment.settle(call)
		for (const call of groupCalls) environment.callGroup(call)
	}

	/** Whether the controller decides now; the lease is looked at anew at every step. */
	private get canDecide(): boolean {
		return this.controller.isActive && this.group?.mayAct === true
	}

	private decideOrRedirect(from: string, customer: string, key: string, step: Step): void {
		if (this.canDecide) {
			step(this.moment())
			return
		}
		const { name, self, environment } = this.parts
		const knownLeader = this.group?.leader ?? ''
		const leader = knownLeader === self ? '' : knownLeader
		const value = { group: name, leader, customer, key }
		environment.send(from, { body: { $case: 'redirect', value } })
	}

	private followLeadership(): void {
		if (!this.group) return
		if (this.controller.isActive && !this.group.leads) {
			this.controller.stepDown()
			this.parts.environment.onLeadershipChanged(false)
		} else if (!this.controller.isActive && this.group.mayAct) {
			this.applied = []
			this.controller.takeOver(this.moment())
			this.parts.environment.onLeadershipChanged(true)
		}
	}

	private moment(): Moment {
		const { environment } = this.parts
		return { now: environment.now(), at: environment.at(), term: this.group?.term ?? 0 }
	}
}
