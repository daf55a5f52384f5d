/** The configuration of a cell's queues and services, and the workers that report to it. */
import type { Resources } from '@rillrudder/scheduler'
import type { Finding } from '@rillrudder/utils'
import { checkAccounts, type ClientAccount } from '../accounts/ClientAccount'

/** How the service that knows a queue's policy answers. @public */
export interface AdviceTerms {
	/** Milliseconds that each answer takes. */
	readonly base: number
	/** Milliseconds more for each worker asked about. */
	readonly each: number
	/** Milliseconds for which a ticket holds. */
	readonly valid: number
}

/** A queue: where jobs come in and which workers run them. @public */
export interface Queue {
	readonly name: string
	readonly host: string
	/** What the path of its jobs begins with. */
	readonly prefix: string
	/** 0 goes first. */
	readonly priority: number
	/** The service whose workers run its tasks. */
	readonly service: string
	/** Runs of a task that may fail before its job has failed. */
	readonly maxAttempts: number
	/** Milliseconds: the least time that a job is expected to take. */
	readonly latencyTarget: number
	/** How many times its longest chain of work a job may take, besides `latencyTarget`. */
	readonly stretch: number
	/** Milliseconds that a caller's request may take. */
	readonly timeout: number
	/** Whether callers need no key, and jobs belong to no account. */
	readonly open?: boolean
	/** Set when only some workers may run a step, and which ones must be asked. */
	readonly advice?: AdviceTerms
}

/** A service: a pool of workers. @public */
export interface Service {
	readonly name: string
	/** Whether its workers refuse what they have no room for. */
	readonly enforcesCapacity: boolean
}

/** One version of the whole configuration. @public */
export interface CellConfiguration {
	readonly version: number
	readonly queues: readonly Queue[]
	readonly services: readonly Service[]
	/** Absent in a cell without accounts, where callers need no keys. */
	readonly accounts?: readonly ClientAccount[]
	/** The document as the operator sent it, given back when it is read. */
	readonly document: string
}

/**
 * @param configuration - a configuration whose fields have the right types.
 * @returns everything that is wrong with it.
 * @public
 */
export function checkCellConfiguration(configuration: CellConfiguration): Finding[] {
	const findings: Finding[] = []
	const add = (path: string, message: string): void => {
		findings.push({ place: { source: 'configuration', path }, message })
	}
	const services = new Set(configuration.services.map((service) => service.name))
	const places = new Set<string>()
	if (!(configuration.version > 0)) add('version', 'is not above 0')
	configuration.queues.forEach((queue, index) => {
		const path = `queues[${index}]`
		const place = `${queue.host} ${queue.prefix}`
		if (!services.has(queue.service)) add(path, `names service ${queue.service}, which is unknown`)
		if (places.has(place)) add(path, `has the host and prefix of another queue (${place})`)
		if (!(queue.timeout > 0)) add(path, 'has a timeout that is not above 0')
		places.add(place)
	})
	checkAccounts(configuration.accounts ?? [], add)
	return findings
}

/** What is known of one incarnation of a worker. @public */
export interface Worker {
	/** Of the incarnation, so new at every start of the worker; see `Incarnation`. */
	readonly id: string
	/** When it started, milliseconds since the epoch; absent where workers do not say, and in records of before they did. */
	readonly born?: number
	readonly service: string
	/** Host and port for orders. */
	readonly address: string
	readonly dataCentre: string
	readonly rack: string
	readonly labels: readonly string[]
	readonly capacity: Resources
	/** Requests that it takes at the same time. */
	readonly slots: number
}

/** A worker's heartbeat. @public */
export interface Heartbeat {
	readonly worker: Worker
	/** Rises with each heartbeat of an incarnation, so that a late one can be told. */
	readonly sequence: number
	readonly draining: boolean
	/** Milliseconds that a draining worker still serves at least; absent when it did not say. */
	readonly remaining?: number
	/** Milliseconds on the worker's own steady clock. */
	readonly clock?: number
}
