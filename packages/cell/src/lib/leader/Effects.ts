/** What a controller asks its process to do. */
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
export interface Sending {
	readonly to: string
	readonly event: Event
}

/** A worker is to be asked how an attempt ended. @public */
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
 * The effects of the steps since they were last taken. All are to be carried out at once, or not at
 * all: the right to act was looked at when they were made.
 *
 * @public
 */
export class Effects {
	commands: DataCentreCommand[] = []
	sendings: Sending[] = []
	settles: SettleCall[] = []
	exchanges: WorkerExchange[] = []
	groupCalls: GroupCall[] = []

	/** @returns everything gathered, and forgets it. */
	take(): Pick<Effects, 'commands' | 'sendings' | 'settles' | 'exchanges' | 'groupCalls'> {
		const { commands, sendings, settles, exchanges, groupCalls } = this
		this.commands = []
		this.sendings = []
		this.settles = []
		this.exchanges = []
		this.groupCalls = []
		return { commands, sendings, settles, exchanges, groupCalls }
	}

	/** Whether there is nothing to do. */
	get empty(): boolean {
		const lists = [this.commands, this.sendings, this.settles, this.exchanges, this.groupCalls]
		return lists.every((list) => list.length === 0)
	}
}

/**
 * The moment of a step, and whether its controller may act for its data centre.
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
