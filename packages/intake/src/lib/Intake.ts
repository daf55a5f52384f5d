/** The logic of an entry instance without its sockets: dispatches requests and events. */
import type { Event } from '@rillrudder/protocol'
import {
	dataCentresOf,
	DEFAULT_CONFIGURATION,
	groupsOf,
	homeOf,
	parseConfiguration,
	type Configuration,
	type Instance,
} from '@rillrudder/settings'
import { Metric, type Log, type Metrics } from '@rillrudder/telemetry'
import { invariant, type Clock, type Random } from '@rillrudder/utils'
import type { CallerRequest } from './CallerRequest'
import { GroupConnections } from './GroupConnections'
import { HomeForwarder } from './HomeForwarder'
import { RepeatableForwarder } from './RepeatableForwarder'
import type { WorkerCalls } from './WorkerCalls'

/** Dependencies of `Intake`. @public */
export interface IntakeParts {
	readonly self: Instance
	readonly instances: readonly Instance[]
	/** Incarnation of this process. */
	readonly incarnation: string
	readonly clock: Clock
	readonly random: Random
	readonly log: Log
	readonly metrics: Metrics
	readonly workers: WorkerCalls
	/** Sends an event to a process. @returns false if it was certainly dropped. */
	readonly send: (to: string, event: Event) => boolean
}

/**
 * The logic of an entry instance, independent of sockets.
 *
 * @public
 */
export class Intake {
	private readonly groups: GroupConnections
	private readonly homeForwarder: HomeForwarder
	private readonly repeatableForwarder: RepeatableForwarder
	private readonly connected = new Set<string>()
	private readonly dataCentres: readonly string[]
	private configuration: Configuration = DEFAULT_CONFIGURATION
	private appliedRevision = 0
	private leaving = false

	/** @param parts - dependencies. */
	constructor(private readonly parts: IntakeParts) {
		this.dataCentres = dataCentresOf(parts.instances)
		this.groups = this.makeGroups()
		this.repeatableForwarder = this.makeRepeatableForwarder()
		this.homeForwarder = this.makeHomeForwarder()
	}

	/** The configuration revision in force on this instance. */
	get revision(): number {
		return this.appliedRevision
	}

	/** Whether the instance is shutting down. */
	get isLeaving(): boolean {
		return this.leaving
	}

	/** Number of requests submitted to a home that have no verdict yet. */
	get openCount(): number {
		return this.homeForwarder.openCount
	}

	/** Handles a caller's request. */
	handleRequest(request: CallerRequest): void {
		if (request.repeatable && this.canOverlap(request.customer))
			this.repeatableForwarder.handleRequest(request)
		else this.homeForwarder.handleRequest(request)
	}

	/** Handles an event from another process. */
	receive(from: string, event: Event): void {
		const body = event.body
		switch (body?.$case) {
			case 'loans': {
				const { dataCentre, beat } = body.value
				this.groups.onLoans(dataCentre, from, body.value)
				if (dataCentre !== this.parts.self.dataCentre) return
				return this.repeatableForwarder.onLoans(body.value, this.groups.loanEndOf(beat))
			}
			case 'go':
				return this.homeForwarder.onGo(from, body.value)
			case 'verdict':
				return this.homeForwarder.onVerdict(body.value)
			case 'redirect': {
				const { group, leader, key } = body.value
				this.groups.onRedirect(group, from, leader)
				return key === '' ? undefined : this.homeForwarder.onRedirect(body.value)
			}
			case 'configurationOffer': {
				const { revision, document } = body.value
				return this.install(revision, document.toString())
			}
			default:
				return
		}
	}

	/** Handles a peer's connection or disconnection. */
	peerChanged(peer: string, connected: boolean): void {
		if (connected) {
			this.connected.add(peer)
			this.sendRevision(peer)
		} else {
			this.connected.delete(peer)
		}
	}

	/** Marks the instance as leaving and reports this to the leader immediately. */
	leave(): void {
		this.leaving = true
		this.groups.sendBeat(this.parts.self.dataCentre)
	}

	/** Stops all timers. */
	stop(): void {
		this.groups.stop()
		this.homeForwarder.stop()
		this.repeatableForwarder.stop()
	}

	/** Whether a customer's repeatable requests may bypass its request order. */
	private canOverlap(name: string): boolean {
		const customer = this.configuration.customers.find((one) => one.name === name)
		if (!customer) return true
		const here = customer.home === this.parts.self.dataCentre
		return customer.readsOverlap && (here || customer.repeatableElsewhere)
	}

	private makeGroups(): GroupConnections {
		const { clock, self, incarnation, instances, send } = this.parts
		return new GroupConnections({
			clock,
			dataCentre: self.dataCentre,
			incarnation,
			layouts: groupsOf(instances),
			send,
			isLeaving: () => this.leaving,
			content: () => ({
				wanted: this.repeatableForwarder?.waitingCount ?? 0,
				uses: this.repeatableForwarder?.heldSlots ?? [],
				signs: this.repeatableForwarder?.takeSigns() ?? [],
				grant: this.repeatableForwarder?.grant ?? 0,
			}),
		})
	}

	private makeRepeatableForwarder(): RepeatableForwarder {
		const { clock, random, metrics, workers, self } = this.parts
		return new RepeatableForwarder({
			clock,
			random,
			metrics,
			workers,
			sendBeat: () => this.groups.sendBeat(self.dataCentre),
			isReachable: () => this.groups.isReachable(self.dataCentre),
			retryShare: () => this.configuration.limits.retryShare,
		})
	}

	private makeHomeForwarder(): HomeForwarder {
		const { clock, metrics, workers, send, incarnation } = this.parts
		return new HomeForwarder({
			incarnation,
			send,
			clock,
			metrics,
			groups: this.groups,
			workers,
			homeOf: (customer) => homeOf(this.configuration, this.dataCentres, customer),
			onWorkerLeaving: (worker) => this.repeatableForwarder.onWorkerLeaving(worker),
		})
	}

	private install(revision: number, document: string): void {
		if (revision > this.appliedRevision) this.applyConfiguration(revision, document)
		for (const peer of this.connected) this.sendRevision(peer)
	}

	private applyConfiguration(revision: number, document: string): void {
		const read = parseConfiguration('configuration', document)
		invariant(read.ok, 'an accepted configuration must be valid', { revision })
		this.appliedRevision = revision
		this.configuration = read.value
		this.parts.metrics.gauge(Metric.ConfigurationRevision, revision)
		this.parts.log.info('configuration-in-force', { revision })
	}

	private sendRevision(peer: string): void {
		const value = { revision: this.appliedRevision }
		this.parts.send(peer, { body: { $case: 'configurationAck', value } })
	}
}
