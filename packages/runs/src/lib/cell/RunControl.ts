/** A control process of a run: the real replicas, drivers, relay and router, on a simulated disk. */
import {
	ConfigurationHolder,
	ConfigurationRelay,
	LeaderDriver,
	OperatorRouter,
	shouldServePeer,
	SystemDriver,
	type ListedWorker,
	type OperatorCall,
	type ReplyCallback,
} from '@rillrudder/cell'
import type { StateMachine } from '@rillrudder/group'
import { EntryKind, type Event } from '@rillrudder/protocol'
import type { SafetyChecker } from '@rillrudder/consensus'
import {
	dataCentresOf,
	groupsOf,
	isDown,
	NO_REVISION,
	SYSTEM_GROUP,
	type GroupLayout,
	type Instance,
	type KeptRevision,
} from '@rillrudder/settings'
import { Random } from '@rillrudder/utils'
import { emptyDisk, RunReplica, type ReplicaDisk } from '../RunReplica'
import { RunClock, type RunProcess } from './RunProcess'
import type { Receiver, RunNetwork } from './RunNetwork'
import { RunAccess, RunKeeper, RunEnvironment } from './RunEnvironment'
import type { RunWorkers } from './RunWorkers'

const TICK = 20
const DESK_TICK = 50
const COMPACT_EVERY = 400
const MOST_SAVE_TIME = 8
const MOST_SEED = 1_000_000_000

/** What survives a control process. @internal */
export interface ControlDisk {
	readonly replicas: Map<string, ReplicaDisk>
	revision: KeptRevision
}

/** @returns a disk with nothing on it. @internal */
export function emptyControlDisk(): ControlDisk {
	return { replicas: new Map(), revision: NO_REVISION }
}

/** What a control process works with. @internal */
export interface RunControlParts {
	readonly process: RunProcess
	readonly self: Instance
	readonly instances: readonly Instance[]
	/** Absent on an instance without a disk. */
	readonly disk?: ControlDisk
	readonly network: RunNetwork
	readonly workers: RunWorkers
	readonly random: Random
	readonly witnesses: ReadonlyMap<string, SafetyChecker>
	/** Told of every revision that is shown. */
	readonly shown: (revision: number) => void
}

/** A group that has a replica here. */
interface Member {
	readonly layout: GroupLayout
	readonly running: RunReplica
	readonly machine: StateMachine
	readonly follow: () => void
	snapshotAt: number
}

/**
 * A control process of a run.
 *
 * @internal
 */
export class RunControl implements Receiver {
	readonly process: RunProcess
	readonly clock: RunClock
	readonly drivers = new Map<string, LeaderDriver>()
	private readonly members: Member[] = []
	private readonly holder: ConfigurationHolder
	private readonly relay: ConfigurationRelay
	private readonly router: OperatorRouter
	private readonly connected = new Set<string>()
	private readonly groups: readonly GroupLayout[]
	private system: SystemDriver | undefined
	private names = 0

	constructor(readonly parts: RunControlParts) {
		this.process = parts.process
		this.clock = new RunClock(parts.process)
		this.groups = groupsOf(parts.instances)
		this.holder = this.makeHolder()
		this.relay = this.makeRelay()
		this.router = this.makeRouter()
		for (const layout of this.groups) this.open(layout)
		this.clock.every(TICK, () => this.tick())
		this.clock.every(DESK_TICK, () => this.tickControllers())
	}

	/** The configuration revision in force here. */
	get revision(): number {
		return this.holder.current.revision
	}

	/** The replica of a group, if there is one here. */
	replicaOf(group: string): RunReplica | undefined {
		return this.members.find((member) => member.layout.name === group)?.running
	}

	/** Names of the groups that have a replica here. */
	get memberOf(): string[] {
		return this.members.map((member) => member.layout.name)
	}

	receive(from: string, event: Event): void {
		const body = event.body
		switch (body?.$case) {
			case 'group':
				if (!this.isFenced(body.value.group)) {
					this.replicaOf(body.value.group)?.receive(body.value)
				}
				return this.follow()
			case 'beat':
			case 'submit':
			case 'report':
			case 'withdraw':
				return this.toDriver(body.value.group, from, event)
			case 'configurationOffer': {
				const { revision, document, fences } = body.value
				this.holder.install({ revision, document: document.toString(), fences })
				return
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

	peerChanged(peer: string, connected: boolean): void {
		if (connected) {
			this.connected.add(peer)
			this.relay.onPeerConnected(peer)
		} else {
			this.connected.delete(peer)
			this.relay.onPeerLost(peer)
		}
	}

	send(to: string, event: Event): boolean {
		return this.parts.network.send(this.process, to, event)
	}

	/** Makes a call to the leader of a group. */
	call(group: string, call: OperatorCall, reply: ReplyCallback): void {
		this.router.call(group, call, reply)
	}

	/** Takes the platform's list. */
	list(workers: readonly ListedWorker[]): void {
		for (const driver of this.drivers.values()) {
			driver.onWorkerList(workers)
			driver.carryOut()
		}
	}

	/** Hands leadership over, for a planned stop. */
	handOver(): void {
		for (const member of this.members) member.running.handOver()
		this.follow()
	}

	private tick(): void {
		for (const member of this.members) {
			if (this.isFenced(member.layout.name)) continue
			member.running.tick()
			this.compact(member)
		}
		this.follow()
	}

	private tickControllers(): void {
		for (const driver of this.drivers.values()) {
			driver.tick()
			driver.carryOut()
		}
	}

	/** Every group has been given the chance to take a step. */
	private follow(): void {
		for (const member of this.members) member.follow()
	}

	private toDriver(group: string, from: string, event: Event): void {
		const driver = this.drivers.get(group)
		if (!driver) {
			const value = { group, leader: '', customer: '', key: '' }
			this.send(from, { body: { $case: 'redirect', value } })
			return
		}
		driver.receive(from, event)
		driver.carryOut()
	}

	private open(layout: GroupLayout): void {
		const { self } = this.parts
		if (!layout.voters.some((voter) => voter.id === self.id)) return
		if (layout.name === SYSTEM_GROUP) this.openSystem(layout)
		else this.openDataCentre(layout)
	}

	private openSystem(layout: GroupLayout): void {
		const system = new SystemDriver({
			self: this.parts.self.id,
			at: () => this.clock.date().getTime(),
			onConfiguration: (revision) => this.holder.install(revision),
			onLeadershipChanged: () => undefined,
		})
		this.system = system
		const running = this.addMember(layout, system.state, () => system.followGroup())
		system.join(
			new RunAccess(
				() => running,
				() => false
			)
		)
	}

	private openDataCentre(layout: GroupLayout): void {
		const { self, instances } = this.parts
		const surroundings = new RunEnvironment(this)
		const driver = new LeaderDriver({
			name: layout.name,
			self: self.id,
			random: this.seeded(),
			dataCentres: dataCentresOf(instances),
			inForce: () => this.holder.inForce,
			environment: surroundings,
		})
		surroundings.driver = driver
		this.drivers.set(layout.name, driver)
		const running = this.addMember(layout, driver.state, () => {
			driver.followGroup()
			driver.carryOut()
		})
		driver.join(
			new RunAccess(
				() => running,
				() => this.isFenced(layout.name)
			)
		)
	}

	private addMember(layout: GroupLayout, machine: StateMachine, follow: () => void): RunReplica {
		const { disk, self, network, process, witnesses } = this.parts
		const name = layout.name
		const life = process.life
		const kept = disk ? this.diskOf(disk, name) : undefined
		const fresh = `${self.id}.${life}`
		const incarnation = kept && kept.incarnation !== '' ? kept.incarnation : fresh
		const running = new RunReplica({
			options: {
				group: name,
				id: self.id,
				incarnation,
				founders: layout.voters,
				random: this.seeded(),
				safetyChecker: witnesses.get(name),
			},
			disk: kept,
			now: () => this.clock.now(),
			ahead: () => this.clock.ahead(),
			saveTime: () => this.saveTime(),
			after: (span, call) => {
				this.clock.after(span, () => {
					call()
					this.follow()
				})
			},
			send: (to, message) =>
				void network.send(process, to, { body: { $case: 'group', value: message } }),
			apply: (entry) => {
				if (entry.kind === EntryKind.ENTRY_KIND_COMMAND) machine.apply(entry.data, entry.index)
			},
			restore: (snapshot) => machine.restore(snapshot.data),
		})
		this.members.push({ layout, running, machine, follow, snapshotAt: running.applied })
		return running
	}

	private diskOf(disk: ControlDisk, group: string): ReplicaDisk {
		const kept = disk.replicas.get(group) ?? emptyDisk()
		disk.replicas.set(group, kept)
		return kept
	}

	private compact(member: Member): void {
		const { running, machine } = member
		if (running.applied - member.snapshotAt < COMPACT_EVERY) return
		member.snapshotAt = running.applied
		running.compact(machine.snapshot())
	}

	private makeHolder(): ConfigurationHolder {
		const { disk, shown } = this.parts
		const after = (span: number, call: () => void) => void this.clock.after(span, call)
		const keeper = disk ? new RunKeeper(disk, after, () => this.saveTime()) : undefined
		const holder = new ConfigurationHolder(keeper, ({ revision }) => {
			shown(revision)
			this.relay?.onRevisionChanged()
			for (const driver of this.drivers.values()) driver.onConfigurationChanged()
		})
		if (disk) holder.restore(disk.revision)
		return holder
	}

	private makeRelay(): ConfigurationRelay {
		return new ConfigurationRelay({
			clock: this.clock,
			send: (to, event) => this.send(to, event),
			peers: () => this.connected,
			shouldServe: (peer) => shouldServePeer(this.parts.self, this.parts.instances, peer),
			isCurrent: () => this.system?.isCurrent ?? false,
			current: () => this.holder.current,
		})
	}

	private makeRouter(): OperatorRouter {
		const { self, process } = this.parts
		return new OperatorRouter({
			self: self.id,
			clock: this.clock,
			groups: this.groups,
			newCallId: () => `${self.id}.${process.life}.${++this.names}`,
			send: (to, event) => this.send(to, event),
			callHere: (group, call, reply) => this.callHere(group, call, reply),
		})
	}

	private callHere(group: string, call: OperatorCall, reply: ReplyCallback): boolean {
		if (group === SYSTEM_GROUP) {
			this.system?.onOperatorCall(call, reply)
			return this.system !== undefined
		}
		const driver = this.drivers.get(group)
		driver?.onOperatorCall(call, reply)
		driver?.carryOut()
		return driver !== undefined
	}

	private isFenced(group: string): boolean {
		return isDown(this.holder.inForce.fences, group)
	}

	private saveTime(): number {
		return this.parts.random.integer(0, MOST_SAVE_TIME)
	}

	private seeded(): Random {
		return new Random(this.parts.random.integer(1, MOST_SEED))
	}
}
