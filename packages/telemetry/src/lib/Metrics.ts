/** Counters, gauges and timings, sent over StatsD and kept for the status page of the process. */
import { StatsD } from 'hot-shots'

/** All StatsD metrics, each with its type and unit. @public */
export const Metric = {
	/** Counter: requests accepted from callers. */
	RequestsIn: 'requests.in',
	/** Counter, tag `outcome`: answers sent to callers. */
	RequestsOut: 'requests.out',
	/** Timing, milliseconds: from the request's last byte to the answer's first. */
	RequestTime: 'requests.time',
	/** Timing, milliseconds: from the request's last byte to its start on a worker. */
	RequestWait: 'requests.wait',
	/** Counter: second and later attempts of repeatable requests. */
	Retries: 'requests.retries',
	/** Gauge: requests that are not repeatable and have not finished, at a leader. */
	RequestsOpen: 'requests.open',
	/** Gauge: slots lent to an entry instance. */
	SlotsLent: 'slots.lent',
	/** Gauge: slots of an entry instance in use. */
	SlotsUsed: 'slots.used',
	/** Gauge: tasks that wait to be placed, at a leader. */
	TasksWaiting: 'tasks.waiting',
	/** Gauge: tasks that have a worker, at a leader. */
	TasksRunning: 'tasks.running',
	/** Counter: commands committed and applied. */
	Commands: 'group.commands',
	/** Counter, tag `group`: times that this instance gained leadership. */
	LeadershipGained: 'group.leadership',
	/** Gauge: the configuration revision in force at this instance. */
	ConfigurationRevision: 'configuration.revision',
	/** Counter: events that could not be sent to a peer and were dropped. */
	EventsDropped: 'links.dropped',
	/** Counter: events sent to peers. */
	EventsSent: 'links.sent',
	/** Counter: exchanges with workers about their tasks. */
	Exchanges: 'workers.exchanges',
	/** Gauge: workers closed because of failures. */
	WorkersClosed: 'workers.closed',
} as const
/** One of the metrics. @public */
export type Metric = (typeof Metric)[keyof typeof Metric]

/** Address of a StatsD server. @public */
export interface MetricsTarget {
	readonly host: string
	readonly port: number
}

const PREFIX = 'rillrudder.'
const MAX_PACKET_BYTES = 1400

/**
 * The StatsD metrics of one process.
 *
 * @public
 */
export class Metrics {
	private readonly client: StatsD | undefined
	private readonly counters = new Map<string, number>()
	private readonly gauges = new Map<string, number>()

	/**
	 * @param process - id of the process, a tag on every metric.
	 * @param target - the StatsD server, or undefined to send nothing.
	 */
	constructor(process: string, target?: MetricsTarget) {
		if (!target) return
		this.client = new StatsD({
			host: target.host,
			port: target.port,
			prefix: PREFIX,
			globalTags: { process },
			maxBufferSize: MAX_PACKET_BYTES,
			// An unreachable metrics server must not fail the process.
			errorHandler: () => undefined,
		})
	}

	/** Adds to a counter. */
	count(metric: Metric, by = 1, tag?: string): void {
		if (by === 0) return
		const name = tag === undefined ? metric : `${metric}{${tag}}`
		this.counters.set(name, (this.counters.get(name) ?? 0) + by)
		this.client?.increment(metric, by, tag === undefined ? [] : [tag])
	}

	/** Sets a gauge. */
	gauge(metric: Metric, value: number, tag?: string): void {
		const name = tag === undefined ? metric : `${metric}{${tag}}`
		if (this.gauges.get(name) === value) return
		this.gauges.set(name, value)
		this.client?.gauge(metric, value, tag === undefined ? [] : [tag])
	}

	/** Sends a duration. */
	timing(metric: Metric, milliseconds: number): void {
		this.client?.timing(metric, milliseconds)
	}

	/** @returns all counters and gauges since the start. */
	snapshot(): { [name: string]: number } {
		return Object.fromEntries([...this.counters, ...this.gauges])
	}

	/** Flushes buffered metrics and closes the socket. */
	close(): void {
		this.client?.close(() => undefined)
	}
}
