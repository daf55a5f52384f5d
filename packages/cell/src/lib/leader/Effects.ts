/** The side effects that a controller asks its process to carry out. */
import type { Event } from '@rillrudder/protocol'
import type { DataCentreCommand } from '../commands/DataCentreCommand'
import type { OperatorCall } from './operatorCalls'
import type { ExchangeCall } from './workerProtocol'

/** A call for the leader of another group. @public */
export interface GroupCall {
	readonly group: string
	readonly call: Extract<OperatorCall, { kind: 'take-home' }>
}

/** An event for another process. @public */
export interface OutgoingEvent {
	readonly to: string
	readonly event: Event
}

/** A call that asks a worker for the outcome of an attempt. @public */
export interface SettleCall {
	readonly worker: string
	readonly address: string
	readonly customer: string
	readonly key: string
	readonly fence: number
}

/** An exchange with a worker about its tasks. @public */
export interface WorkerExchange {
	readonly worker: string
	readonly address: string
	readonly call: ExchangeCall
}

/**
 * The effects collected since the last `take`. They must be carried out immediately or dropped: the
 * right to act was checked when they were added.
 *
 * @public
 */
export class Effects {
	commands: DataCentreCommand[] = []
	outgoingEvents: OutgoingEvent[] = []
	settleCalls: SettleCall[] = []
	exchanges: WorkerExchange[] = []
	groupCalls: GroupCall[] = []

	/** @returns all collected effects, and clears the collection. */
	take(): Pick<
		Effects,
		'commands' | 'outgoingEvents' | 'settleCalls' | 'exchanges' | 'groupCalls'
	> {
		const { commands, outgoingEvents, settleCalls, exchanges, groupCalls } = this
		this.commands = []
		this.outgoingEvents = []
		this.settleCalls = []
		this.exchanges = []
		this.groupCalls = []
		return { commands, outgoingEvents, settleCalls, exchanges, groupCalls }
	}

	/** Whether no effects are collected. */
	get isEmpty(): boolean {
		const lists = [
			this.commands,
			this.outgoingEvents,
			this.settleCalls,
			this.exchanges,
			this.groupCalls,
		]
		return lists.every((list) => list.length === 0)
	}
}

/**
 * The time and the term in which a controller takes a step.
 *
 * @public
 */
export interface Moment {
	/** Monotonic milliseconds. */
	readonly now: number
	/** Milliseconds since the epoch, for records. */
	readonly at: number
	/** Term of the group that this replica leads. */
	readonly term: number
}
