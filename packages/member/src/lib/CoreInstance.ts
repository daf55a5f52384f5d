/** An instance of the core: a replica of the cell's group, and the controller while it leads. */
import { randomUUID } from 'node:crypto'
import { join } from 'node:path'
import { Replica, type Founder, type Timing } from '@rillrudder/consensus'
import { Group } from '@rillrudder/group'
import {
	CellState,
	type CellCall,
	type CellReply,
	type LeaderPolicy,
	type LeaderTiming,
	type WorkerOrders,
} from '@rillrudder/jobs'
import type { Event, Member, PeerCall } from '@rillrudder/protocol'
import { FileCondition, GroupStore, SystemDisk } from '@rillrudder/store'
import { Measure, type Log, type Meter } from '@rillrudder/telemetry'
import { exhaustive, Random, type Clock, type Timer } from '@rillrudder/utils'
import type { Adviser } from './Adviser'
import { answerQuestion, AskingPeers } from './AskingPeers'
import { CarriedOrders } from './carriers/CarriedOrders'
import type { Carrier } from './carriers/CarrierChoice'
import { OrderCarrier } from './carriers/OrderCarrier'
import { CallFaults } from './CallFaults'
import { CellMachine } from './CellMachine'
import type { Finality, LocalLeader } from './LeaderCalls'
import { CoreNews } from './CoreNews'
import { decodeCall } from './linkBodies'
import { CellLoads } from './load/CellLoads'
import { CarrierSpread } from './load/CarrierSpread'
import type { InstanceCapacity } from './load/InstanceCapacity'
import { InstanceLoad } from './load/InstanceLoad'
import { GatheredHeartbeats, HeartbeatFate } from './GatheredHeartbeats'
import { CORE_NEWS_KEPT, NEWS_PERIOD } from './LeaderView'
import { Leading } from './Leading'
import { TICK_PERIOD } from './linkTiming'
import { MemberEvent } from './MemberEvent'
import { PeerLinks } from './PeerLinks'

const GROUP = 'cell'
/** Milliseconds between two settings of the gauges. */
const MEASURE_PERIOD = 1000
/** Milliseconds that a planned stop waits for another instance to lead. */
const HAND_OVER_WAIT = 1500
/** Milliseconds that a stopping instance still passes calls on to its successor. */
const LAST_CALLS = 300
/** Milliseconds that a call that is passed on may take. */
const RELAY_LIMIT = 1200

/** How long the leader is told of heartbeats that others heard; the next ones say it again. */
const HEARD_FINALITY = { patience: 300, limit: 600 }
/** What a worker is told whose heartbeat can't be brought to the leader for now. */
const LEADER_SILENT: CellReply = {
	kind: 'not-run',
	reason: 'the leader does not answer',
	retryAfter: 1000,
}

/** What an instance of the core is made with. @public */
export interface CoreParts {
	/** Host and port for links; also its id. */
	readonly address: string
	readonly dataCentre: string
	readonly capacity: InstanceCapacity
	/** Data folder. */
	readonly data: string
	/** Link addresses of instances to ask for admission; they may change. */
	readonly seeds: () => readonly string[]
	/** Whether the whole cell starts for the first time, and the seeds found it. */
	readonly founding: boolean
	readonly clock: Clock
	/** When the process started, on that clock. */
	readonly startedAt: number
	readonly random: Random
	readonly timing: Timing
	readonly controller: LeaderTiming
	readonly policy: LeaderPolicy
	readonly orders: WorkerOrders
	readonly adviser: Adviser
	readonly log: Log
	readonly meter: Meter
	/** Told of a fault after which the process must end. */
	readonly fail: (fault: Error) => void
}

/**
 * An instance of the core.
 *
 * @example
 * ```ts
 * const core = new CoreInstance(parts)
 * await core.start()
 * const reply = await core.call({ kind: 'read-configuration' }, finality)
 * ```
 * @public
 */
export class CoreInstance {
	/** This life of the instance, unlike any other. */
	private readonly life = randomUUID()
	private readonly state = new CellState()
	private readonly machine = new CellMachine(this.state)
	private readonly links: PeerLinks
	private readonly advisers: AskingPeers
	private readonly carrier: OrderCarrier
	private readonly heartbeats: GatheredHeartbeats
	private readonly news: CoreNews
	private readonly faults: CallFaults
	private readonly load: InstanceLoad
	private readonly loads: CellLoads
	/** When each peer last said something, on the instance's clock. */
	private readonly heardAt = new Map<string, number>()
	private group!: Group
	private leading: Leading | undefined
	private timers: Timer[] = []
	private toldLeader = ''
	/** The members that were told last; the group replaces the list whenever it changes. */
	private toldMembers: readonly Member[] = []

	constructor(private readonly parts: CoreParts) {
		const { clock, address: self, adviser } = parts
		this.load = new InstanceLoad(parts.capacity, TICK_PERIOD, clock.now())
		this.loads = new CellLoads(self, this.load)
		this.faults = new CallFaults(clock, parts.log, parts.meter)
		this.links = new PeerLinks({
			self,
			newsKept: CORE_NEWS_KEPT,
			clock,
			log: parts.log,
			meter: parts.meter,
			receive: (from, event) => this.receive(from, event),
			lost: (peer) => this.lost(peer),
			local: () => this.localLeader(),
		})
		const peers = (): readonly string[] => this.links.hub.connected
		this.advisers = new AskingPeers({
			self,
			adviser,
			calls: this.links.calls,
			peers,
			standing: (id) => this.loads.standingOf(id, clock.now()),
		})
		this.heartbeats = new GatheredHeartbeats({
			workers: this.state.workers,
			clock,
			tell: (heard) => this.links.leaderCalls.call({ kind: 'heartbeats', heard }, HEARD_FINALITY),
			mayTell: () => this.links.view.leader(clock.now()) !== undefined,
			refusing: (active) => parts.log.warn(MemberEvent.HeartbeatsRefused, { active }),
		})
		this.news = new CoreNews({
			self,
			life: this.life,
			clock,
			links: this.links,
			replica: () => this.group.replica,
			load: () => this.loads.report(),
			linkedMembers: () => this.linkedMembers(),
		})
		this.carrier = new OrderCarrier(
			parts.orders,
			clock,
			(to, value) => void this.links.hub.send(to, { body: { $case: 'orderResults', value } }),
			(peer, orders, heldUp) =>
				parts.log.warn(MemberEvent.OrdersDropped, { peer, orders, heldUp: Math.round(heldUp) })
		)
	}

	/** The replica's view of the group, for the status page. */
	get status() {
		return this.group.replica.status
	}

	/** Opens the data folder and links up. */
	async start(): Promise<void> {
		this.group = await this.openGroup()
		this.machine.applied = () => this.leading?.applied()
		await this.links.hub.listen(this.parts.address)
		this.dial()
		const { clock } = this.parts
		this.timers = [
			clock.every(TICK_PERIOD, () => this.tick()),
			clock.every(NEWS_PERIOD, () => this.news.tellAgain()),
			clock.every(MEASURE_PERIOD, () => this.measure()),
		]
	}

	/** Brings a call to the leader, here or elsewhere. */
	call(call: CellCall, finality: Finality): Promise<CellReply> {
		if (call.kind !== 'heartbeat' || this.leading)
			return this.links.leaderCalls.call(call, finality)
		const fate = this.heartbeats.take(call.heartbeat)
		switch (fate) {
			case HeartbeatFate.Gathered:
				return Promise.resolve({ kind: 'noted' })
			case HeartbeatFate.Refused:
				return Promise.resolve(LEADER_SILENT)
			case HeartbeatFate.Passed:
				return this.links.leaderCalls.call(call, finality)
			default:
				return exhaustive(fate)
		}
	}

	/** Hands leadership over and stops. */
	async stop(): Promise<void> {
		const { clock } = this.parts
		const wait = (span: number) => new Promise<void>((done) => clock.after(span, done))
		const until = clock.now() + HAND_OVER_WAIT
		if (this.group.replica.leads) this.group.handOver()
		while (this.group.replica.leads && clock.now() < until) await wait(TICK_PERIOD)
		await wait(LAST_CALLS)
		for (const timer of this.timers) timer.cancel()
		this.endLeading()
		await this.group.stop()
		this.links.hub.close()
	}

	private async openGroup(): Promise<Group> {
		const { address, dataCentre, data, clock, random, timing, log, fail, startedAt } = this.parts
		const opened = await GroupStore.open({
			disk: new SystemDisk(),
			folder: join(data, GROUP),
			group: GROUP,
			freshIncarnation: randomUUID(),
		})
		if (opened.ending !== FileCondition.Clean)
			log.warn(MemberEvent.LogRepaired, { ending: opened.ending })
		const contacts = (): readonly string[] => this.peersToDial()
		const options = {
			group: GROUP,
			id: address,
			incarnation: opened.incarnation,
			founders: this.founders(),
			applicant: { durable: true, dataCentre, contacts },
			timing,
			startedAt,
			random,
		}
		return new Group({
			name: GROUP,
			replica: new Replica(options, clock.now(), opened.restored),
			store: opened.store,
			machine: this.machine,
			clock,
			send: (to, message) =>
				void this.links.hub.send(to, { body: { $case: 'group', value: message } }),
			fail,
			settled: () => this.settled(),
		})
	}

	private founders(): Founder[] {
		if (!this.parts.founding) return []
		return this.parts.seeds().map((id) => ({ id, durable: true, local: true }))
	}

	private tick(): void {
		this.load.tick(this.parts.clock.now())
		this.group.tick()
		this.settled()
		if (this.leading && this.group.mayAct) this.leading.tick()
		this.dial()
	}

	/** Sets the gauges. */
	private measure(): void {
		const { meter } = this.parts
		const { term, members } = this.group.replica.status
		meter.gauge(Measure.LoopDelay, this.load.loopDelay)
		meter.gauge(Measure.Term, term)
		meter.gauge(Measure.Leads, this.leading ? 1 : 0)
		meter.gauge(Measure.Voters, members.filter((member) => member.voter).length)
		this.leading?.measure()
	}

	/** Begins or ends a leadership as the group's state asks for it. */
	private settled(): void {
		const { replica } = this.group
		const { term, leader, members } = replica.status
		if (this.leading && (!replica.leads || term !== this.leading.term)) this.endLeading()
		if (!this.leading && this.group.mayAct) this.beginLeading(term)
		if (leader !== this.toldLeader) {
			this.toldLeader = leader
			this.parts.log.info(MemberEvent.LeaderChanged, { leader, term })
			this.news.tell()
		}
		if (members === this.toldMembers) return
		const named = namesOf(members)
		const before = namesOf(this.toldMembers)
		this.toldMembers = members
		if (named !== before) this.parts.log.info(MemberEvent.MembersChanged, { members: named })
	}

	private beginLeading(term: number): void {
		const { clock, random, controller: timing, policy, log, meter } = this.parts
		const { group, state, advisers } = this
		this.leading = new Leading({
			group,
			state,
			term,
			clock,
			random: new Random(random.integer(0, 0x7fffffff)),
			timing,
			policy,
			orders: this.carriedOrders(term),
			advisers,
			log,
			meter,
		})
		this.news.tell()
		this.leading.flushSoon()
	}

	private carriedOrders(term: number): CarriedOrders {
		const { clock, orders: direct, log, meter } = this.parts
		return new CarriedOrders({
			direct,
			term,
			life: this.life,
			clock,
			log,
			linked: () => this.linkedMembers(),
			spread: new CarrierSpread(this.loads.core, log, meter),
			heardAt: (id) => this.heardAt.get(id) ?? Number.NEGATIVE_INFINITY,
			workers: () => this.state.workers.size,
			send: (to, value) => this.links.hub.send(to, { body: { $case: 'orderBatch', value } }),
		})
	}

	private linkedMembers(): Carrier[] {
		const { members } = this.group.replica.status
		return members.filter(({ id }) => id !== this.parts.address && this.links.hub.isConnected(id))
	}

	private lost(peer: string): void {
		this.loads.lost(peer)
		this.leading?.lost(peer)
	}

	private endLeading(): void {
		this.leading?.end()
		this.leading = undefined
	}

	/** @returns this instance as the leader; undefined while it may not act as such. */
	private localLeader(): LocalLeader | undefined {
		const { leading, faults } = this
		if (!leading || !this.group.mayAct) return undefined
		return {
			term: leading.term,
			call: (call, done) => faults.handle(call, done, () => leading.call(call, done)),
		}
	}

	private receive(from: string, { body }: Event): void {
		const now = this.parts.clock.now()
		this.heardAt.set(from, now)
		if (!body) return
		if (body.$case === 'group') this.group.receive(body.value)
		else if (body.$case === 'peerCall') this.peerCalled(from, body.value)
		else if (body.$case === 'cellNews') {
			this.links.view.take(from, body.value, now)
			this.carrier.heard(from, body.value.sent)
			this.loads.core.take(from, body.value.load, now)
		} else if (body.$case === 'orderBatch') this.carrier.take(from, body.value)
		else if (body.$case === 'orderResults') this.leading?.carried(body.value)
		else if (body.$case === 'peerReply') {
			this.loads.entry.take(from, body.value.load, now)
			this.links.calls.replied(body.value)
			this.leading?.flushSoon()
		}
	}

	private peerCalled(from: string, { id, body, hops, term }: PeerCall): void {
		const reply = (value: CellReply): void => this.links.calls.reply(from, id, value)
		const call = decodeCall(body)
		if (!call) return this.faults.unreadable(from)
		if (call.kind === 'advise') {
			void answerQuestion(this.parts.adviser, call.question).then(reply)
			return
		}
		if (this.leading) {
			const leader = this.localLeader()
			if (leader?.term === term) leader.call(call, reply)
			else reply({ kind: 'not-leader' })
			return
		}
		const leader = this.group.replica.status.leader
		if (hops > 0 || leader === '') {
			reply({ kind: 'not-leader' })
			return
		}
		const to = { peer: leader, term, hops: hops + 1 }
		this.links.calls.pass(to, body, RELAY_LIMIT, (outcome) => {
			if (outcome.kind === 'replied') reply(outcome.reply)
			else if (outcome.kind === 'not-sent') reply({ kind: 'not-leader' })
			else reply({ kind: 'unknown', reason: 'the leader did not answer' })
		})
	}

	/** Every instance of the core that this one has a reason to know. */
	private peersToDial(): string[] {
		const { address, seeds } = this.parts
		const replica = this.group?.replica
		const members = replica?.status.members.map((member) => member.id) ?? []
		const heard = members.length === 0 ? [...(replica?.heardOf ?? [])] : []
		const known = new Set([...seeds(), ...members, ...heard])
		known.delete(address)
		return [...known]
	}

	private dial(): void {
		this.links.dialOnly(this.peersToDial())
	}
}

/** Those without a vote are marked. */
function namesOf(members: readonly Member[]): string {
	return members.map((one) => `${one.id}${one.voter ? '' : '?'}`).join()
}
