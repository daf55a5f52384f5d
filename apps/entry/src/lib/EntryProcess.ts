/** `rr-entry`: takes callers' requests and brings them to workers. */
import { randomInt, randomUUID } from 'node:crypto'
import { Intake } from '@rillrudder/intake'
import { linkSecurity, LinkHub, type Event } from '@rillrudder/protocol'
import { RunningProgram } from '@rillrudder/program'
import { DEFAULT_CONFIGURATION } from '@rillrudder/settings'
import { Log, Metric, Metrics } from '@rillrudder/telemetry'
import { Mailbox, Random, SystemClock, type Clock } from '@rillrudder/utils'
import { CallerServer } from './callers/CallerServer'
import type { EntrySettings } from './EntrySettings'
import { WorkerCaller } from './workers/WorkerCaller'

const MOST_SEED = 0x7fffffff
const ENTRY_SUFFIX = '/entry'
const LOOK_EVERY = 20
/** Of a worker's connections, those that are not for callers' requests. */
const OTHER_CONNECTIONS = 4

/** What a process may be given instead of the machine's own. @public */
export interface EntryOverrides {
	readonly clock?: Clock
	readonly log?: Log
}

/** An event and the process that it is from. */
interface Received {
	readonly from: string
	readonly event: Event
}

/**
 * One `rr-entry`.
 *
 * @public
 */
export class EntryProcess extends RunningProgram {
	readonly metrics: Metrics
	private readonly id: string
	private readonly clock: Clock
	private readonly log: Log
	private readonly hub: LinkHub
	private readonly workers: WorkerCaller
	private readonly intake: Intake
	private readonly mailbox = new Mailbox<Received>()
	private readonly callers: CallerServer
	private port = 0

	/**
	 * @param settings - checked settings.
	 * @param overrides - for tests and for several processes in one.
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
		const share = Math.floor((connections - OTHER_CONNECTIONS) / instances.length)
		this.workers = new WorkerCaller(Math.max(1, share))
		this.intake = this.makeIntake()
		this.callers = new CallerServer({
			listen: settings.callers,
			clock: this.clock,
			metrics: this.metrics,
			healthy: () => !this.intake.isLeaving,
			take: (request) => this.intake.handleRequest(request),
		})
	}

	/** Where callers call, once started. */
	get callerAddress(): string {
		return `${this.settings.callers.host}:${this.port}`
	}

	/** The configuration revision in force here. */
	get revision(): number {
		return this.intake.revision
	}

	override async start(): Promise<void> {
		this.mailbox.serve(
			'intake',
			(batch) => this.takeIn(batch),
			(fault) => this.endAtOnce(fault)
		)
		for (const { id, address } of this.settings.instances) this.hub.dial(id, address)
		this.port = await this.callers.start()
		this.log.info('started', { callers: this.callerAddress })
	}

	/** Goes on taking requests while the balancer learns of it, then finishes what is in flight. */
	override async stop(): Promise<void> {
		this.intake.leave()
		this.log.info('stopping')
		this.callers.beginClosing()
		await this.pause(this.settings.stopDelay)
		await this.callers.finish()
		while (this.intake.openCount > 0) await this.pause(LOOK_EVERY)
		this.intake.leave()
		await this.pause(LOOK_EVERY)
		this.halt()
		this.log.info('stopped')
	}

	/** Ends as a killed process does, for tests. */
	halt(): void {
		this.callers.halt()
		this.intake.stop()
		this.hub.close()
		this.workers.close()
		this.metrics.close()
	}

	private takeIn(batch: Received[]): void {
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
			random: new Random(randomInt(MOST_SEED)),
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

	private endAtOnce(fault: Error): void {
		this.log.error('can-not-go-on', { fault: fault.message })
		process.exit(1)
	}
}
