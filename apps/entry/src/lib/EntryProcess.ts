/** `rr-entry`: takes callers' requests and brings them to workers. */
import { randomInt, randomUUID } from 'node:crypto'
import { linkSecurity, LinkHub, type Event } from '@rillrudder/protocol'
import { RunningProgram } from '@rillrudder/program'
import {
	dataCentresOf,
	DEFAULT_CONFIGURATION,
	groupsOf,
	homeOf,
	parseConfiguration,
	type Configuration,
} from '@rillrudder/settings'
import { Log, Metric, Metrics } from '@rillrudder/telemetry'
import { Random, SystemClock, type Clock } from '@rillrudder/utils'
import type { CallerRequest } from './callers/CallerRequest'
import { CallerServer } from './callers/CallerServer'
import type { EntrySettings } from './EntrySettings'
import { Groups } from './home/Groups'
import { HomeDesk } from './home/HomeDesk'
import { RepeatableDesk } from './repeatable/RepeatableDesk'
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
	private readonly groups: Groups
	private readonly workers: WorkerCaller
	private readonly home: HomeDesk
	private readonly repeatable: RepeatableDesk
	private readonly callers: CallerServer
	private readonly connected = new Set<string>()
	private readonly dataCentres: readonly string[]
	private configuration: Configuration = DEFAULT_CONFIGURATION
	private revision = 0
	private leaving = false
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
		this.dataCentres = dataCentresOf(instances)
		this.hub = this.makeHub()
		const { slots } = this.configuration
		const share = Math.floor((slots.connections - OTHER_CONNECTIONS) / instances.length)
		this.workers = new WorkerCaller(Math.max(1, share))
		this.groups = this.makeGroups()
		this.repeatable = this.makeRepeatable()
		this.home = this.makeHome()
		this.callers = new CallerServer({
			listen: settings.callers,
			clock: this.clock,
			metrics: this.metrics,
			healthy: () => !this.leaving,
			take: (request) => this.take(request),
		})
	}

	/** Where callers call, once started. */
	get callerAddress(): string {
		return `${this.settings.callers.host}:${this.port}`
	}

	override async start(): Promise<void> {
		for (const { id, address } of this.settings.instances) this.hub.dial(id, address)
		this.port = await this.callers.start()
		this.log.info('started', { callers: this.callerAddress })
	}

	/** Goes on taking requests while the balancer learns of it, then finishes what is in flight. */
	override async stop(): Promise<void> {
		this.leaving = true
		this.log.info('stopping')
		this.callers.beginClosing()
		await this.pause(this.settings.stopDelay)
		await this.callers.finish()
		while (this.home.open > 0) await this.pause(LOOK_EVERY)
		this.groups.beat(this.settings.self.dataCentre)
		await this.pause(LOOK_EVERY)
		this.halt()
		this.log.info('stopped')
	}

	/** Ends as a killed process does, for tests. */
	halt(): void {
		this.callers.halt()
		this.groups.stop()
		this.home.stop()
		this.repeatable.stop()
		this.hub.close()
		this.workers.close()
		this.metrics.close()
	}

	private take(request: CallerRequest): void {
		if (request.repeatable && this.mayOverlap(request.customer)) this.repeatable.take(request)
		else this.home.take(request)
	}

	/** Whether a customer's repeatable requests need not stand in its order. */
	private mayOverlap(name: string): boolean {
		const customer = this.configuration.customers.find((one) => one.name === name)
		if (!customer) return true
		const here = customer.home === this.settings.self.dataCentre
		return customer.readsOverlap && (here || customer.repeatableElsewhere)
	}

	private makeHub(): LinkHub {
		const { tls } = this.settings
		if (!tls) this.log.warn('links-are-plain', { why: 'no TLS files are set' })
		return new LinkHub({
			self: this.id,
			clock: this.clock,
			...linkSecurity(tls),
			receive: (from, event) => this.receive(from, event),
			changed: (peer, connected) => this.peerChanged(peer, connected),
		})
	}

	private makeGroups(): Groups {
		return new Groups({
			clock: this.clock,
			dataCentre: this.settings.self.dataCentre,
			incarnation: randomUUID(),
			layouts: groupsOf(this.settings.instances),
			send: (to, event) => this.send(to, event),
			leaving: () => this.leaving,
			content: () => ({
				wanted: this.repeatable?.wanted ?? 0,
				uses: this.repeatable?.held ?? [],
				signs: this.repeatable?.takeSigns() ?? [],
				grant: this.repeatable?.grant ?? 0,
			}),
		})
	}

	private makeRepeatable(): RepeatableDesk {
		const { dataCentre } = this.settings.self
		return new RepeatableDesk({
			clock: this.clock,
			random: new Random(randomInt(MOST_SEED)),
			metrics: this.metrics,
			workers: this.workers,
			beat: () => this.groups.beat(dataCentre),
			reachable: () => this.groups.isReachable(dataCentre),
			retryShare: () => this.configuration.limits.retryShare,
		})
	}

	private makeHome(): HomeDesk {
		return new HomeDesk({
			clock: this.clock,
			metrics: this.metrics,
			groups: this.groups,
			workers: this.workers,
			home: (customer) => homeOf(this.configuration, this.dataCentres, customer),
			leaving: (worker) => this.repeatable.leaving(worker),
		})
	}

	private receive(from: string, event: Event): void {
		const body = event.body
		switch (body?.$case) {
			case 'loans': {
				const { dataCentre, beat } = body.value
				this.groups.heard(dataCentre, from, body.value)
				if (dataCentre !== this.settings.self.dataCentre) return
				return this.repeatable.loans(body.value, this.groups.loanEnd(beat))
			}
			case 'go':
				return this.home.go(body.value)
			case 'verdict':
				return this.home.verdict(body.value)
			case 'redirect': {
				const { group, leader, key } = body.value
				this.groups.redirected(group, from, leader)
				return key === '' ? undefined : this.home.redirected(body.value)
			}
			case 'configurationOffer': {
				const { revision, document } = body.value
				return this.install(revision, document.toString())
			}
			default:
				return
		}
	}

	private install(revision: number, document: string): void {
		if (revision > this.revision) {
			const read = parseConfiguration('configuration', document)
			if (!read.ok) return
			this.revision = revision
			this.configuration = read.value
			this.metrics.gauge(Metric.ConfigurationRevision, revision)
			this.log.info('configuration-in-force', { revision })
		}
		for (const peer of this.connected) this.tellRevision(peer)
	}

	private peerChanged(peer: string, connected: boolean): void {
		if (connected) {
			this.connected.add(peer)
			this.tellRevision(peer)
		} else {
			this.connected.delete(peer)
		}
		this.log.debug(connected ? 'peer-connected' : 'peer-lost', { peer })
	}

	private tellRevision(peer: string): void {
		const value = { revision: this.revision }
		this.send(peer, { body: { $case: 'configurationAck', value } })
	}

	private send(to: string, event: Event): boolean {
		const sent = this.hub.send(to, event)
		this.metrics.count(sent ? Metric.EventsSent : Metric.EventsDropped)
		return sent
	}

	private pause(span: number): Promise<void> {
		return new Promise((resolve) => this.clock.after(span, () => resolve()))
	}
}
