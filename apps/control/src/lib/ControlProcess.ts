/** The `rr-control` process: the replicas of one instance, their controllers, and the operator API. */
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
import { FileRevisionKeeper } from './FileRevisionKeeper'
import { DataCentreHost } from './groups/DataCentreHost'
import { SystemHost } from './groups/SystemHost'
import { OperatorAuthenticator } from './operators/OperatorAuthenticator'
import { OperatorServer } from './operators/OperatorServer'
import { PlatformListPoller } from './workers/PlatformListPoller'
import { WorkerClient } from './workers/WorkerClient'

/** All groups tick together, so that their messages are sent in the same batch. */
const TICK_MS = 50
const MAX_SEED = 0x7fffffff
const HANDOVER_TIMEOUT_MS = 2000
const HANDOVER_POLL_MS = 20

/** Replacements for the system clock, the default log and the fault handler. @public */
export interface ControlOverrides {
	readonly clock?: Clock
	readonly log?: Log
	/** Called on a fault that the process cannot recover from; exits the process by default. */
	readonly onFault?: (fault: Error) => void
}

/**
 * An `rr-control` process.
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
	private readonly platform: PlatformListPoller | undefined
	private readonly connected = new Set<string>()
	private readonly onFault: (fault: Error) => void
	private readonly revisionFile: RevisionFile | undefined
	private lock: FolderLock | undefined
	private operatorPort = 0
	private timer: Timer | undefined

	/**
	 * @param settings - checked settings.
	 * @param overrides - for tests, and for running several instances in one process.
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
		this.onFault = overrides.onFault ?? ((fault) => this.exitOnFault(fault))
		this.groups = groupsOf(instances)
		this.hub = this.makeHub()
		this.revisionFile = settings.data
			? new RevisionFile(new SystemDisk(), settings.data)
			: undefined
		const keeper = this.revisionFile
			? new FileRevisionKeeper(this.revisionFile, this.onFault)
			: undefined
		this.holder = new ConfigurationHolder(keeper, (revision) =>
			this.onConfigurationChanged(revision)
		)
		this.relay = this.makeRelay()
		this.system = this.makeSystem()
		for (const layout of this.groups) this.addHost(layout)
		this.router = this.makeRouter()
		this.operators = this.makeOperatorServer()
		this.platform = this.makePlatformList()
	}

	/** Address of the operators' HTTP server, once started. */
	get operatorAddress(): string {
		return `${this.settings.operators.host}:${this.operatorPort}`
	}

	/** Names of the data centres whose groups this process currently leads. */
	get leading(): string[] {
		return [...this.hosts.values()].filter((host) => host.leads).map((host) => host.name)
	}

	override async start(): Promise<void> {
		this.lockDataFolder()
		const kept = await this.revisionFile?.load()
		if (kept) this.holder.restore(kept)
		await this.system?.start()
		for (const host of this.hosts.values()) await host.start()
		await this.hub.listen(this.settings.self.address)
		this.dialPeers()
		this.operatorPort = await this.operators.start()
		this.timer = this.clock.every(TICK_MS, () => this.tick())
		this.platform?.start()
		this.log.info('started', { operators: this.operatorAddress })
	}

	/** Hands leadership over to other replicas before it stops. */
	override async stop(): Promise<void> {
		this.log.info('stopping')
		this.platform?.stop()
		for (const host of this.hosts.values()) host.handOver()
		this.system?.handOver()
		await this.waitForHandover()
		this.halt()
		for (const host of this.hosts.values()) await host.stop()
		await this.system?.stop()
		this.lock?.release()
		this.log.info('stopped')
	}

	/** Stops abruptly, like a killed process: hands nothing over and sends nothing more. For tests. */
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

	private lockDataFolder(): void {
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
		const { clock, log, onFault } = this
		return new SystemHost({
			self: self.id,
			layout,
			data,
			clock,
			random: new Random(randomInt(MAX_SEED)),
			log,
			onFault,
			send: (to, event) => this.send(to, event),
			onAccepted: (revision) => this.holder.install(revision),
		})
	}

	private addHost(layout: GroupLayout): void {
		const { self, data } = this.settings
		const isVoter = layout.voters.some((voter) => voter.id === self.id)
		if (layout.name === SYSTEM_GROUP || !isVoter) return
		const { clock, log, metrics, workers, onFault } = this
		const host = new DataCentreHost({
			self: self.id,
			layout,
			data,
			clock,
			random: new Random(randomInt(MAX_SEED)),
			log,
			metrics,
			dataCentres: dataCentresOf(this.settings.instances),
			inForce: () => this.holder.inForce,
			callGroup: (group, call) => this.callGroup(group, call),
			send: (to, event) => this.send(to, event),
			workers,
			onFault,
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
			callHere: (group, call, reply) => this.callLocal(group, call, reply),
		})
	}

	private makeOperatorServer(): OperatorServer {
		const { operators, tls, operatorTokens, self } = this.settings
		const authenticator = new OperatorAuthenticator(operatorTokens, tls !== undefined)
		if (authenticator.isOpen)
			this.log.warn('operators-are-believed', { why: 'no TLS or tokens are set' })
		return new OperatorServer({
			listen: operators,
			tls,
			authenticator,
			dataCentre: self.dataCentre,
			call: (group, call) => this.callGroup(group, call),
			status: () => this.status(),
			configuration: () => this.holder.current,
		})
	}

	private makePlatformList(): PlatformListPoller | undefined {
		const { platform } = this.settings
		if (!platform) return undefined
		const isWanted = () => this.leading.length > 0
		return new PlatformListPoller(platform, this.clock, this.log, isWanted, (workers) => {
			for (const host of this.hosts.values()) if (host.leads) host.onPlatformList(workers)
		})
	}

	/** Dials the peers with a higher id; of two instances the one with the lower id dials. */
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
				return this.forwardToHost(body.value.group, from, event)
			case 'submit':
				return this.forwardToHost(body.value.group, from, event)
			case 'report':
				return this.forwardToHost(body.value.group, from, event)
			case 'withdraw':
				return this.forwardToHost(body.value.group, from, event)
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

	private forwardToHost(group: string, from: string, event: Event): void {
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

	private callLocal(group: string, call: OperatorCall, reply: ReplyCallback): boolean {
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

	private onConfigurationChanged(revision: KeptRevision): void {
		this.metrics.gauge(Metric.ConfigurationRevision, revision.revision)
		this.log.info('configuration-in-force', { revision: revision.revision })
		for (const host of this.hosts.values()) host.onConfigurationChanged()
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

	/** Waits until this process leads no group, or times out because no replica can take over. */
	private async waitForHandover(): Promise<void> {
		const deadline = this.clock.now() + HANDOVER_TIMEOUT_MS
		const groups = [...this.hosts.values()].map((host) => host.replicaGroup)
		if (this.system) groups.push(this.system.replicaGroup)
		while (this.clock.now() < deadline && groups.some((group) => group.replica.isLeader)) {
			await new Promise<void>((resolve) => this.clock.after(HANDOVER_POLL_MS, () => resolve()))
		}
	}

	private exitOnFault(fault: Error): void {
		this.log.error('can-not-go-on', { fault: fault.message })
		process.exit(1)
	}
}
