/**
 * Connects a data centre's controller to its group and its environment: follows leadership, passes
 * applied commands to the controller, and carries its effects out only while its replica may act.
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

/** A driver's interface to the replica of its group. @public */
export abstract class GroupAccess {
	/** Whether this replica leads. */
	abstract readonly leads: boolean
	/** Whether this replica holds the leader's lease now and has applied all committed entries. */
	abstract readonly mayAct: boolean
	/** The instance that leads, as far as is known; empty if unknown. */
	abstract readonly leader: string
	abstract readonly term: number
	/** Proposes commands for the log. */
	abstract propose(commands: readonly Uint8Array[]): void
}

/** A driver's interface to the process that hosts it. @public */
export abstract class Environment {
	/** Monotonic milliseconds. */
	abstract now(): number
	/** Milliseconds since the epoch. */
	abstract at(): number
	abstract send(to: string, event: Event): void
	/** Calls a worker about its tasks; the reply goes to `LeaderDriver.onExchangeReply`. */
	abstract exchange(exchange: WorkerExchange): void
	/** Asks a worker about an attempt; the reply goes to `LeaderDriver.onSettleReply`. */
	abstract settle(call: SettleCall): void
	/** Calls the leader of another group; the reply goes to `LeaderDriver.onClaimReply`. */
	abstract callGroup(call: GroupCall): void
	/** Called when leadership is gained or lost. */
	abstract onLeadershipChanged(gained: boolean): void
}

/** The dependencies of a driver. @public */
export interface LeaderDriverParts {
	/** Name of the data centre. */
	readonly name: string
	/** Id of this instance. */
	readonly self: string
	readonly random: Random
	readonly dataCentres: readonly string[]
	/** @returns the configuration and the fences in force. */
	readonly inForce: () => InForce
	readonly environment: Environment
}

type Step = (moment: Moment) => void

/** HTTP status with which a replica that does not lead refuses a call. */
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

	/** @param parts - identity and dependencies. */
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

	/** Sets the group, once it is open. */
	join(group: GroupAccess): void {
		this.group = group
	}

	/** Whether this process runs the active controller of the data centre. */
	get leads(): boolean {
		return this.controller.isActive
	}

	/** Values for metrics. */
	get stats() {
		return this.controller.stats
	}

	/** Handles an event of an entry instance, or redirects the sender to the leader. */
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

	/** Handles an operator's call, or refuses it with the leader's id as the message. */
	onOperatorCall(call: OperatorCall, reply: ReplyCallback): void {
		if (this.canDecide) this.controller.onOperatorCall(call, this.moment(), reply)
		else reply({ code: NOT_THE_LEADER, message: this.group?.leader ?? '' })
	}

	/** Handles a list of workers from the platform. */
	onWorkerList(workers: readonly ListedWorker[]): void {
		const here = workers.filter((worker) => worker.dataCentre === this.parts.name)
		if (this.canDecide) this.controller.onWorkerList(here, this.moment())
	}

	/** Handles a worker's reply to an exchange; undefined if there was none. */
	onExchangeReply(worker: string, reply: ExchangeReply | undefined): void {
		if (!this.canDecide) return
		if (reply) this.controller.onExchangeReply(worker, reply, this.moment())
		else this.controller.onExchangeFailed(worker)
	}

	/** Handles a worker's reply to a settle call. */
	onSettleReply(call: SettleCall, reply: SettleReply): void {
		const { customer, key, fence } = call
		if (this.canDecide) this.controller.onSettleReply(customer, key, fence, reply, this.moment())
	}

	/** Handles another data centre's reply to a claim of a customer's home. */
	onClaimReply(call: GroupCall, reply: OperatorReply): void {
		if (this.canDecide) this.controller.onClaimReply(call, reply)
	}

	/** Handles a change of the configuration. */
	onConfigurationChanged(): void {
		this.controller.onConfigurationChanged()
	}

	/** Runs the controller's periodic work. */
	tick(): void {
		if (this.canDecide) this.controller.tick(this.moment())
	}

	/**
	 * Called after each step of the group: follows changes of leadership and passes applied commands to
	 * the controller.
	 *
	 * @returns the number of commands passed on.
	 */
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

	/** Carries out pending effects. Must be called after every step, before anything asynchronous. */
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

	/** Whether the controller may decide now; the lease is checked again at every step. */
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
