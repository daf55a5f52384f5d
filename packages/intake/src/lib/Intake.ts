/** An entry instance without its sockets: takes requests and events, and brings the two together. */
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
import { Groups } from './Groups'
import { HomeForwarder } from './HomeForwarder'
import { RepeatableForwarder } from './RepeatableForwarder'
import type { WorkerCalls } from './WorkerCalls'

/** What an intake works with. @public */
export interface IntakeParts {
	readonly self: Instance
	readonly instances: readonly Instance[]
	/** Names this life of the process. */
	readonly incarnation: string
	readonly clock: Clock
	readonly random: Random
	readonly log: Log
	readonly metrics: Metrics
	readonly workers: WorkerCalls
	/** Sends to a process. @returns false when it was dropped for certain. */
	readonly send: (to: string, event: Event) => boolean
}

/**
 * An entry instance without its sockets.
 *
 * @public
 */
export class Intake {
	private readonly groups: Groups
	private readonly home: HomeForwarder
	private readonly repeatable: RepeatableForwarder
	private readonly connected = new Set<string>()
	private readonly dataCentres: readonly string[]
	private configuration: Configuration = DEFAULT_CONFIGURATION
	private shown = 0
	private leaving = false

	/** @param parts - what it works with. */
	constructor(private readonly parts: IntakeParts) {
		this.dataCentres = dataCentresOf(parts.instances)
		this.groups = this.makeGroups()
		this.repeatable = this.makeRepeatable()
		this.home = this.makeHome()
	}

	/** The configuration revision in force here. */
	get revision(): number {
		return this.shown
	}

	/** Whether it is about to stop. */
	get isLeaving(): boolean {
		return this.leaving
	}

	/** Requests in order that have no verdict yet. */
	get openCount(): number {
		return this.home.open
	}

	/** Takes a caller's request. */
	handleRequest(request: CallerRequest): void {
		if (request.repeatable && this.mayOverlap(request.customer)) this.repeatable.take(request)
		else this.home.take(request)
	}

	/** Takes an event of another process. */
	receive(from: string, event: Event): void {
		const body = event.body
		switch (body?.$case) {
			case 'loans': {
				const { dataCentre, beat } = body.value
				this.groups.heard(dataCentre, from, body.value)
				if (dataCentre !== this.parts.self.dataCentre) return
				return this.repeatable.loans(body.value, this.groups.loanEnd(beat))
			}
			case 'go':
				return this.home.go(from, body.value)
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

	/** A peer has come or gone. */
	peerChanged(peer: string, connected: boolean): void {
		if (connected) {
			this.connected.add(peer)
			this.tellRevision(peer)
		} else {
			this.connected.delete(peer)
		}
	}

	/** Takes no slots for later any more, and says so. */
	leave(): void {
		this.leaving = true
		this.groups.beat(this.parts.self.dataCentre)
	}

	/** Stops all timers. */
	stop(): void {
		this.groups.stop()
		this.home.stop()
		this.repeatable.stop()
	}

	/** Whether a customer's repeatable requests need not stand in its order. */
	private mayOverlap(name: string): boolean {
		const customer = this.configuration.customers.find((one) => one.name === name)
		if (!customer) return true
		const here = customer.home === this.parts.self.dataCentre
		return customer.readsOverlap && (here || customer.repeatableElsewhere)
	}

	private makeGroups(): Groups {
		const { clock, self, incarnation, instances, send } = this.parts
		return new Groups({
			clock,
			dataCentre: self.dataCentre,
			incarnation,
			layouts: groupsOf(instances),
			send,
			leaving: () => this.leaving,
			content: () => ({
				wanted: this.repeatable?.wanted ?? 0,
				uses: this.repeatable?.held ?? [],
				signs: this.repeatable?.takeSigns() ?? [],
				grant: this.repeatable?.grant ?? 0,
			}),
		})
	}

	private makeRepeatable(): RepeatableForwarder {
		const { clock, random, metrics, workers, self } = this.parts
		return new RepeatableForwarder({
			clock,
			random,
			metrics,
			workers,
			beat: () => this.groups.beat(self.dataCentre),
			reachable: () => this.groups.isReachable(self.dataCentre),
			retryShare: () => this.configuration.limits.retryShare,
		})
	}

	private makeHome(): HomeForwarder {
		const { clock, metrics, workers, send, incarnation } = this.parts
		return new HomeForwarder({
			incarnation,
			send,
			clock,
			metrics,
			groups: this.groups,
			workers,
			home: (customer) => homeOf(this.configuration, this.dataCentres, customer),
			leaving: (worker) => this.repeatable.leaving(worker),
		})
	}

	private install(revision: number, document: string): void {
		if (revision > this.shown) this.show(revision, document)
		for (const peer of this.connected) this.tellRevision(peer)
	}

	private show(revision: number, document: string): void {
		const read = parseConfiguration('configuration', document)
		invariant(read.ok, 'only a good configuration is accepted', { revision })
		this.shown = revision
		this.configuration = read.value
		this.parts.metrics.gauge(Metric.ConfigurationRevision, revision)
		this.parts.log.info('configuration-in-force', { revision })
	}

	private tellRevision(peer: string): void {
		const value = { revision: this.shown }
		this.parts.send(peer, { body: { $case: 'configurationAck', value } })
	}
}
