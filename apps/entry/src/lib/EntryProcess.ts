/** The `rr-entry` process: accepts callers' requests and forwards them to workers. */
import { randomInt, randomUUID } from 'node:crypto'
import { Intake } from '@rillrudder/intake'
import { linkSecurity, LinkHub, type Event } from '@rillrudder/protocol'
import { RunningProgram } from '@rillrudder/program'
import { DEFAULT_CONFIGURATION } from '@rillrudder/settings'
import { Log, Metric, Metrics } from '@rillrudder/telemetry'
import { Mailbox, Random, SystemClock, type Clock } from '@rillrudder/utils'
import { CallerServer } from './callers/CallerServer'
import type { EntrySettings } from './EntrySettings'
import { HttpWorkerCalls } from './workers/HttpWorkerCalls'

const MAX_SEED = 0x7fffffff
const ENTRY_SUFFIX = '/entry'
const POLL_INTERVAL_MS = 20
/** Connections of a worker that are reserved for uses other than callers' requests. */
const RESERVED_CONNECTIONS = 4

/** Replacements for the system clock and the default log. @public */
export interface EntryOverrides {
	readonly clock?: Clock
	readonly log?: Log
}

/** An event and the process that sent it. */
interface Received {
	readonly from: string
	readonly event: Event
}

/**
 * An `rr-entry` process.
 *
 * @public
 */
export class EntryProcess extends RunningProgram {
	readonly metrics: Metrics
	private readonly id: string
	private readonly clock: Clock
	private readonly log: Log
	private readonly hub: LinkHub
	private readonly workers: HttpWorkerCalls
	private readonly intake: Intake
	private readonly mailbox = new Mailbox<Received>()
	private readonly callers: CallerServer
	private port = 0

	/**
	 * @param settings - checked settings.
	 * @param overrides - for tests, and for running several instances in one process.
	 */
	constructor(
		private readonly settings: EntrySettings,
		overrides: EntryOverrides = {}
	) {
		super()
		const { self, instances } = settings
		this.id = self.id + ENTRY_SUFFIX
		this.clock = overrides.clock ?? new SystemClock()
		this.log = overrides.log ?? new Log(this.id, this.clock, settings.logLevel as 'info')
		this.metrics = new Metrics(this.id, settings.metrics)
		this.hub = this.makeHub()
		const { connections } = DEFAULT_CONFIGURATION.slots
		const share = Math.floor((connections - RESERVED_CONNECTIONS) / instances.length)
		this.workers = new HttpWorkerCalls(Math.max(1, share))
		this.intake = this.makeIntake()
		this.callers = new CallerServer({
			listen: settings.callers,
			clock: this.clock,
			metrics: this.metrics,
			isHealthy: () => !this.intake.isLeaving,
			handleRequest: (request) => this.intake.handleRequest(request),
		})
	}

	/** Address of the callers' HTTP server, once started. */
	get callerAddress(): string {
		return `${this.settings.callers.host}:${this.port}`
	}

	/** The configuration revision in force on this instance. */
	get revision(): number {
		return this.intake.revision
	}

	override async start(): Promise<void> {
		this.mailbox.serve(
			'intake',
			(batch) => this.handleBatch(batch),
			(fault) => this.exitOnFault(fault)
		)
		for (const { id, address } of this.settings.instances) this.hub.dial(id, address)
		this.port = await this.callers.start()
		this.log.info('started', { callers: this.callerAddress })
	}

	/**
	 * Keeps accepting requests for the stop delay, while load balancers notice the failing health check,
	 * then completes the requests in flight.
	 */
	override async stop(): Promise<void> {
		this.intake.leave()
		this.log.info('stopping')
		this.callers.startClosing()
		await this.pause(this.settings.stopDelay)
		await this.callers.drain()
		while (this.intake.openCount > 0) await this.pause(POLL_INTERVAL_MS)
		this.intake.leave()
		await this.pause(POLL_INTERVAL_MS)
		this.halt()
		this.log.info('stopped')
	}

	/** Stops abruptly, like a killed process. For tests. */
	halt(): void {
		this.callers.halt()
		this.intake.stop()
		this.hub.close()
		this.workers.close()
		this.metrics.close()
	}

	private handleBatch(batch: Received[]): void {
		for (const { from, event } of batch) this.intake.receive(from, event)
	}

	private makeHub(): LinkHub {
		const { tls } = this.settings
		if (!tls) this.log.warn('links-are-plain', { why: 'no TLS files are set' })
		return new LinkHub({
			self: this.id,
			clock: this.clock,
			...linkSecurity(tls),
			receive: (from, event) => void this.mailbox.post({ from, event }),
			changed: (peer, connected) => this.peerChanged(peer, connected),
		})
	}

	private makeIntake(): Intake {
		const { self, instances } = this.settings
		const { clock, log, metrics, workers } = this
		return new Intake({
			self,
			instances,
			incarnation: randomUUID(),
			clock,
			random: new Random(randomInt(MAX_SEED)),
			log,
			metrics,
			workers,
			send: (to, event) => this.send(to, event),
		})
	}

	private peerChanged(peer: string, connected: boolean): void {
		this.intake.peerChanged(peer, connected)
		this.log.debug(connected ? 'peer-connected' : 'peer-lost', { peer })
	}

	private send(to: string, event: Event): boolean {
		const sent = this.hub.send(to, event)
		this.metrics.count(sent ? Metric.EventsSent : Metric.EventsDropped)
		return sent
	}

	private pause(span: number): Promise<void> {
		return new Promise((resolve) => this.clock.after(span, () => resolve()))
	}

	private exitOnFault(fault: Error): void {
		this.log.error('can-not-go-on', { fault: fault.message })
		process.exit(1)
	}
}
