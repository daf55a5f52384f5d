/** The configuration of a cell's queues and services, and the workers that report to it. */
import type { Resources } from '@rillrudder/scheduler'
import type { Finding } from '@rillrudder/utils'
import { checkAccounts, type ClientAccount } from '../accounts/ClientAccount'

/** Response times of the service that holds a queue's placement policy. @public */
export interface AdviceTerms {
	/** Fixed time of each answer in milliseconds. */
	readonly base: number
	/** Additional milliseconds per worker in the request. */
	readonly each: number
	/** Milliseconds for which a ticket is valid. */
	readonly valid: number
}

/**
 * A queue: the host and path at which jobs are submitted, and the service that runs them.
 * @public
 */
export interface Queue {
	readonly name: string
	readonly host: string
	/** Path prefix of requests that submit its jobs. */
	readonly prefix: string
	/** 0 is the highest priority. */
	readonly priority: number
	/** The service whose workers run its tasks. */
	readonly service: string
	/** Number of failed runs of a task at which its job fails. */
	readonly maxAttempts: number
	/** Least time in milliseconds that a job may take; `stretch` times its critical path is added. */
	readonly latencyTarget: number
	/**
	 * Multiple of its critical path (the longest chain of expected times) that a job may take, added
	 * to `latencyTarget`.
	 */
	readonly stretch: number
	/** Timeout of a caller's request in milliseconds. */
	readonly timeout: number
	/** Whether callers need no key and jobs belong to no account. */
	readonly open?: boolean
	/** Set when only some workers may run a step and the advice service must be asked which ones. */
	readonly advice?: AdviceTerms
}

/**
 * A queue is identified by where callers reach it; its name, service and terms may change.
 *
 * @returns the host and prefix of a queue as one text.
 * @public
 */
export function placeOf({ host, prefix }: Queue): string {
	return `${host} ${prefix}`
}

/** @returns whether two configurations describe the same queue; see {@link placeOf}. @public */
export function isSameQueue(left: Queue, right: Queue): boolean {
	return left.host === right.host && left.prefix === right.prefix
}

/** A service: a pool of workers. @public */
export interface Service {
	readonly name: string
	/** Whether its workers refuse tasks that exceed their free capacity. */
	readonly enforcesCapacity: boolean
}

/** One version of the configuration of a cell. @public */
export interface CellConfiguration {
	readonly version: number
	readonly queues: readonly Queue[]
	readonly services: readonly Service[]
	/** Absent in a cell without accounts, where callers need no key. */
	readonly accounts?: readonly ClientAccount[]
	/** The document as the operator sent it, returned when the configuration is read. */
	readonly document: string
}

/**
 * @param configuration - a configuration whose fields have the right types.
 * @returns the findings; empty for a valid configuration.
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
		const place = placeOf(queue)
		if (!services.has(queue.service)) add(path, `names service ${queue.service}, which is unknown`)
		if (places.has(place)) add(path, `has the host and prefix of another queue (${place})`)
		if (!(queue.timeout > 0)) add(path, 'has a timeout that is not above 0')
		places.add(place)
	})
	checkAccounts(configuration.accounts ?? [], add)
	return findings
}

/** The description of one incarnation of a worker. @public */
export interface Worker {
	/** Id of the incarnation, new at every start of the worker; see `Incarnation`. */
	readonly id: string
	/**
	 * When it started, milliseconds since the epoch; absent where workers do not report it and in
	 * older records.
	 */
	readonly born?: number
	readonly service: string
	/** Host and port for orders. */
	readonly address: string
	readonly dataCentre: string
	readonly rack: string
	readonly labels: readonly string[]
	readonly capacity: Resources
	/** Requests that it serves concurrently. */
	readonly slots: number
}

/** A worker's heartbeat. @public */
export interface Heartbeat {
	readonly worker: Worker
	/** Increases with each heartbeat of an incarnation, so that a late one is recognised. */
	readonly sequence: number
	readonly draining: boolean
	/** Milliseconds for which a draining worker still serves at least; absent when not reported. */
	readonly remaining?: number
	/** Reading of the worker's own monotonic clock in milliseconds. */
	readonly clock?: number
}
