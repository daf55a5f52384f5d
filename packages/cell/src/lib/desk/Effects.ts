/** What a desk asks its process to do. */
import type { Event } from '@rillrudder/protocol'
import type { DataCentreCommand } from '../commands/DataCentreCommand'
import type { ExchangeCall } from './workerProtocol'

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

	/** @returns everything gathered, and forgets it. */
	take(): Pick<Effects, 'commands' | 'sendings' | 'settles' | 'exchanges'> {
		const { commands, sendings, settles, exchanges } = this
		this.commands = []
		this.sendings = []
		this.settles = []
		this.exchanges = []
		return { commands, sendings, settles, exchanges }
	}

	/** Whether there is nothing to do. */
	get empty(): boolean {
		const { commands, sendings, settles, exchanges } = this
		return commands.length + sendings.length + settles.length + exchanges.length === 0
	}
}

/**
 * The moment of a step, and whether its desk may act for its data centre.
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
