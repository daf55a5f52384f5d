/** `rr-control`: the replicas of this instance, the decisions of those that lead, and the operator API. */
import { linkSecurity, LinkHub, type Event } from '@rillrudder/protocol'
import { RunningProgram } from '@rillrudder/program'
import {
	dataCentresOf,
	groupsOf,
	SYSTEM_GROUP,
	type GroupLayout,
	type KeptRevision,
} from '@rillrudder/settings'
import { FolderLock, RevisionFile, SystemDisk } from '@rillrudder/store'
import { Log, Metric, Metrics } from '@rillrudder/telemetry'
import { Random, SystemClock, type Clock, type Timer } from '@rillrudder/utils'
import {
	ConfigurationHolder,
	ConfigurationRelay,
	OperatorRouter,
	shouldServePeer,
	type OperatorCall,
	type OperatorReply,
	type ReplyCallback,
} from '@rillrudder/cell'
import { randomInt, randomUUID } from 'node:crypto'
import { VError } from 'verror'
import type { ControlSettings } from './ControlSettings'
import { DiskKeeper } from './DiskKeeper'
import { DataCentreHost } from './groups/DataCentreHost'
import { SystemHost } from './groups/SystemHost'
import { OperatorIdentity } from './operators/OperatorIdentity'
import { OperatorServer } from './operators/OperatorServer'
import { PlatformList } from './workers/PlatformList'
import { WorkerClient } from './workers/WorkerClient'

/** All groups take their ticks together, so that their messages go together. */
const TICK = 50
const MOST_SEED = 0x7fffffff
const HAND_OVER_FOR = 2000
const HAND_OVER_LOOK = 20

/** What a process may be given instead of the machine's own. @public */
export interface ControlOverrides {
	readonly clock?: Clock
	readonly log?: Log
	/** Told of a fault after which the process can't go on; the default ends it. */
	readonly fail?: (fault: Error) => void
}

/**
 * One `rr-control`.
 *
 * @public
 */
export class ControlProcess extends RunningProgram {
	readonly metrics: Metrics
	private readonly clock: Clock
	private readonly log: Log
	private readonly hub: LinkHub
	private readonly groups: readonly GroupLayout[]
	private readonly hosts = new Map<string, DataCentreHost>()
	private readonly system: SystemHost | undefined
	private readonly holder: ConfigurationHolder
	private readonly relay: ConfigurationRelay
	private readonly router: OperatorRouter
	private readonly operators: OperatorServer
	private readonly workers = new WorkerClient()
	private readonly platform: PlatformList | undefined
	private readonly connected = new Set<string>()
	private readonly fail: (fault: Error) => void
	private readonly file: RevisionFile | undefined
	private lock: FolderLock | undefined
	private operatorPort = 0
	private timer: Timer | undefined

	/**
	 * @param settings - checked settings.
	 * @param overrides - for tests and for several processes in one.
	 */
	constructor(
		private readonly settings: ControlSettings,
		overrides: ControlOverrides = {}
	) {
		super()
		const { self, instances } = settings
		this.clock = overrides.clock ?? new SystemClock()
		this.log = overrides.log ?? new Log(self.id, this.clock, settings.logLevel as 'info')
		this.metrics = new Metrics(self.id, settings.metrics)
		this.fail = overrides.fail ?? ((fault) => this.endAtOnce(fault))
		this.groups = groupsOf(instances)
		this.hub = this.makeHub()
		this.file = settings.data ? new RevisionFile(new SystemDisk(), settings.data) : undefined
		const keeper = this.file ? new DiskKeeper(this.file, this.fail) : undefined
		this.holder = new ConfigurationHolder(keeper, (revision) => this.configured(revision))
		this.relay = this.makeRelay()
		this.system = this.makeSystem()
		for (const layout of this.groups) this.addHost(layout)
		this.router = this.makeRouter()
		this.operators = this.makeOperators()
		this.platform = this.makePlatform()
	}

	/** Where operators call, once started. */
	get operatorAddress(): string {
		return `${this.settings.operators.host}:${this.operatorPort}`
	}

	/** Data centres for which this process decides now. */
	get leading(): string[] {
		return [...this.hosts.values()].filter((host) => host.leads).map((host) => host.name)
	}

	override async start(): Promise<void> {
		this.lockFolder()
		const kept = await this.file?.load()
		if (kept) this.holder.restore(kept)
		await this.system?.start()
		for (const host of this.hosts.values()) await host.start()
		await this.hub.listen(this.settings.self.address)
		this.dialPeers()
		this.operatorPort = await this.operators.start()
		this.timer = this.clock.every(TICK, () => this.tick())
		this.platform?.start()
		this.log.info('started', { operators: this.operatorAddress })
	}

	/** Hands leadership over before it goes. */
	override async stop(): Promise<void> {
		this.log.info('stopping')
		this.platform?.stop()
		for (const host of this.hosts.values()) host.handOver()
		this.system?.handOver()
		await this.waitUntilHandedOver()
		this.halt()
		for (const host of this.hosts.values()) await host.stop()
		await this.system?.stop()
		this.lock?.release()
		this.log.info('stopped')
	}

	/** Ends as a killed process does, for tests: nothing is handed over, nothing more is sent. */
	halt(): void {
		this.timer?.cancel()
		this.operators.stop()
		this.platform?.stop()
		this.relay.stop()
		this.hub.close()
		this.workers.close()
		this.metrics.close()
	}

	private tick(): void {
		this.system?.tick()
		for (const host of this.hosts.values()) host.tick()
	}

	private lockFolder(): void {
		const { data } = this.settings
		if (!data) return
		const lock = FolderLock.acquire(data)
		if (!lock.ok) {
			const { pid, folder } = lock.error
			throw new VError({ name: 'FolderHeld' }, 'process %d holds %s', pid, folder)
		}
		this.lock = lock.value
	}

	private makeHub(): LinkHub {
		const { self, tls } = this.settings
		if (!tls) this.log.warn('links-are-plain', { why: 'no TLS files are set' })
		return new LinkHub({
			self: self.id,
			clock: this.clock,
			...linkSecurity(tls),
			receive: (from, event) => this.receive(from, event),
			changed: (peer, connected) => this.peerChanged(peer, connected),
		})
	}

	private makeRelay(): ConfigurationRelay {
		return new ConfigurationRelay({
			clock: this.clock,
			send: (to, event) => this.send(to, event),
			peers: () => this.connected,
			shouldServe: (peer) => shouldServePeer(this.settings.self, this.settings.instances, peer),
			isCurrent: () => this.system?.isCurrent ?? false,
			current: () => this.holder.current,
		})
	}

	private makeSystem(): SystemHost | undefined {
		const layout = this.groups.find((group) => group.name === SYSTEM_GROUP)
		const { self, data } = this.settings
		if (!layout?.voters.some((voter) => voter.id === self.id)) return undefined
		const { clock, log, fail } = this
		return new SystemHost({
			self: self.id,
			layout,
			data,
			clock,
			random: new Random(randomInt(MOST_SEED)),
			log,
			fail,
			send: (to, event) => this.send(to, event),
			accepted: (revision) => this.holder.install(revision),
		})
	}

	private addHost(layout: GroupLayout): void {
		const { self, data } = this.settings
		const member = layout.voters.some((voter) => voter.id === self.id)
		if (layout.name === SYSTEM_GROUP || !member) return
		const { clock, log, metrics, workers, fail } = this
		const host = new DataCentreHost({
			self: self.id,
			layout,
			data,
			clock,
			random: new Random(randomInt(MOST_SEED)),
			log,
			metrics,
			dataCentres: dataCentresOf(this.settings.instances),
			inForce: () => this.holder.inForce,
			callGroup: (group, call) => this.callGroup(group, call),
			send: (to, event) => this.send(to, event),
			workers,
			fail,
		})
		this.hosts.set(layout.name, host)
	}

	private makeRouter(): OperatorRouter {
		return new OperatorRouter({
			self: this.settings.self.id,
			clock: this.clock,
			groups: this.groups,
			newCallId: () => randomUUID(),
			send: (to, event) => this.send(to, event),
			callHere: (group, call, reply) => this.callHere(group, call, reply),
		})
	}

	private makeOperators(): OperatorServer {
		const { operators, tls, operatorTokens, self } = this.settings
		const identity = new OperatorIdentity(operatorTokens, tls !== undefined)
		if (identity.open) this.log.warn('operators-are-believed', { why: 'no TLS or tokens are set' })
		return new OperatorServer({
			listen: operators,
			tls,
			identity,
			dataCentre: self.dataCentre,
			call: (group, call) => this.callGroup(group, call),
			status: () => this.status(),
			configuration: () => this.holder.current,
		})
	}

	private makePlatform(): PlatformList | undefined {
		const { platform } = this.settings
		if (!platform) return undefined
		const wanted = () => this.leading.length > 0
		return new PlatformList(platform, this.clock, this.log, wanted, (workers) => {
			for (const host of this.hosts.values()) if (host.leads) host.list(workers)
		})
	}

	/** Of two instances the one with the lower name dials. */
	private dialPeers(): void {
		const { self, instances } = this.settings
		for (const peer of instances) if (self.id < peer.id) this.hub.dial(peer.id, peer.address)
	}

	private send(to: string, event: Event): boolean {
		const sent = this.hub.send(to, event)
		this.metrics.count(sent ? Metric.EventsSent : Metric.EventsDropped)
		return sent
	}

	private receive(from: string, event: Event): void {
		const body = event.body
		switch (body?.$case) {
			case 'group':
				if (body.value.group === SYSTEM_GROUP) this.system?.receive(event)
				else this.hosts.get(body.value.group)?.receive(from, event)
				return
			case 'beat':
				return this.toHost(body.value.group, from, event)
			case 'submit':
				return this.toHost(body.value.group, from, event)
			case 'report':
				return this.toHost(body.value.group, from, event)
			case 'withdraw':
				return this.toHost(body.value.group, from, event)
			case 'configurationOffer': {
				const { revision, document, fences } = body.value
				return this.holder.install({ revision, document: document.toString(), fences })
			}
			case 'configurationAck':
				return this.relay.onAcknowledgement(from, body.value.revision)
			case 'operatorCall':
				return this.router.receiveCall(from, body.value)
			case 'operatorReply':
				return this.router.receiveReply(body.value)
			default:
				return
		}
	}

	private toHost(group: string, from: string, event: Event): void {
		const host = this.hosts.get(group)
		if (host) {
			host.receive(from, event)
			return
		}
		const value = { group, leader: '', customer: '', key: '' }
		this.send(from, { body: { $case: 'redirect', value } })
	}

	private callGroup(group: string, call: OperatorCall): Promise<OperatorReply> {
		return new Promise((resolve) => this.router.call(group, call, resolve))
	}

	private callHere(group: string, call: OperatorCall, reply: ReplyCallback): boolean {
		if (group === SYSTEM_GROUP) {
			this.system?.call(call, reply)
			return this.system !== undefined
		}
		const host = this.hosts.get(group)
		host?.call(call, reply)
		return host !== undefined
	}

	private peerChanged(peer: string, connected: boolean): void {
		if (connected) {
			this.connected.add(peer)
			this.relay.onPeerConnected(peer)
		} else {
			this.connected.delete(peer)
			this.relay.onPeerLost(peer)
		}
		this.log.debug(connected ? 'peer-connected' : 'peer-lost', { peer })
	}

	private configured(revision: KeptRevision): void {
		this.metrics.gauge(Metric.ConfigurationRevision, revision.revision)
		this.log.info('configuration-in-force', { revision: revision.revision })
		for (const host of this.hosts.values()) host.configured()
		this.relay?.onRevisionChanged()
	}

	private status(): unknown {
		const { self, instances } = this.settings
		const groups = [...this.hosts.values()].map((host) => host.replicaGroup)
		if (this.system) groups.push(this.system.replicaGroup)
		return {
			instance: self.id,
			dataCentre: self.dataCentre,
			revision: this.holder.current.revision,
			revisions: {
				...Object.fromEntries(this.relay.revisions),
				[self.id]: this.holder.current.revision,
			},
			connected: [...this.connected].sort(),
			instances: instances.map((one) => one.id),
			groups: groups.map((group) => ({ name: group.name, ...group.replica.status })),
			metrics: this.metrics.snapshot(),
		}
	}

	/** Another replica leads every group, or there is nobody to hand over to. */
	private async waitUntilHandedOver(): Promise<void> {
		const until = this.clock.now() + HAND_OVER_FOR
		const groups = [...this.hosts.values()].map((host) => host.replicaGroup)
		if (this.system) groups.push(this.system.replicaGroup)
		while (this.clock.now() < until && groups.some((group) => group.replica.isLeader)) {
			await new Promise<void>((resolve) => this.clock.after(HAND_OVER_LOOK, () => resolve()))
		}
	}

	private endAtOnce(fault: Error): void {
		this.log.error('can-not-go-on', { fault: fault.message })
		process.exit(1)
	}
}
