/**
 * An instance of the core: a replica of the cell's consensus group that runs the controller while
 * it leads.
 */
import { randomUUID } from 'node:crypto'
import { join } from 'node:path'
import { Replica, type Founder, type Timing } from '@rillrudder/consensus'
import { Group } from '@rillrudder/group'
import {
	CellState,
	type CellCall,
	type CellReply,
	type Heartbeat,
	type LeaderPolicy,
	type LeaderTiming,
	type WorkerOrders,
} from '@rillrudder/jobs'
import type { Event, Member, PeerCall } from '@rillrudder/protocol'
import { FileCondition, GroupStore, SystemDisk } from '@rillrudder/store'
import { Measure, type Log, type Meter } from '@rillrudder/telemetry'
import { exhaustive, Random, type Clock, type Timer } from '@rillrudder/utils'
import type { Adviser } from './Adviser'
import { answerQuestion, PeerAdvisers } from './PeerAdvisers'
import { CarriedOrders } from './carriers/CarriedOrders'
import type { Carrier } from './carriers/CarrierSelector'
import { OrderCarrier } from './carriers/OrderCarrier'
import { CallFaults } from './CallFaults'
import { CallRelay } from './CallRelay'
import { CellMachine } from './CellMachine'
import type { RetryLimits, LocalLeader } from './LeaderCalls'
import { NewsBroadcaster } from './NewsBroadcaster'
import { decodeCall } from './messageBodies'
import { CellLoads } from './load/CellLoads'
import { CarrierWeights } from './load/CarrierWeights'
import type { InstanceCapacity } from './load/InstanceCapacity'
import { InstanceLoad } from './load/InstanceLoad'
import { HeartbeatBatcher, HeartbeatHandling } from './HeartbeatBatcher'
import { CORE_NEWS_TTL_MS, NEWS_INTERVAL_MS } from './LeaderView'
import { LeaderSession } from './LeaderSession'
import { TICK_INTERVAL_MS } from './linkTiming'
import { MemberEvent } from './MemberEvent'
import { PeerLinks } from './PeerLinks'

const GROUP = 'cell'
/** Milliseconds between two updates of the gauges. */
const GAUGE_INTERVAL_MS = 1000
/** Milliseconds that a planned stop waits for another instance to take over leadership. */
const HAND_OVER_TIMEOUT_MS = 1500
/** Milliseconds for which a stopping instance still forwards calls to its successor. */
const LAST_CALLS_MS = 300
/**
 * Number of workers from which calls of entry instances are relayed by members that do not lead.
 * With fewer, the leader has processor time to spare, and a hop would only add latency.
 */
const MIN_WORKERS_TO_RELAY = 100

/**
 * Retry limits for reporting batched heartbeats to the leader. Short, since the next batch reports
 * the same workers.
 */
const HEARTBEAT_RETRY_LIMITS = { leaderWait: 300, limit: 600 }
/** Reply to a worker whose heartbeat can't be forwarded to the leader at the moment. */
const LEADER_UNREACHABLE: CellReply = {
	kind: 'not-run',
	reason: 'the leader does not answer',
	retryAfter: 1000,
}

/** Settings and dependencies of a core instance. @public */
export interface CoreParts {
	/** Host and port for links; also its id. */
	readonly address: string
	readonly dataCentre: string
	readonly capacity: InstanceCapacity
	/** Data folder. */
	readonly data: string
	/**
	 * Link addresses of the instances to ask for admission; read again each time, since they may
	 * change.
	 */
	readonly seeds: () => readonly string[]
	/** Whether the cell starts for the first time, with the seeds as its founding members. */
	readonly isFounding: boolean
	readonly clock: Clock
	/** When the process started, on `clock`. */
	readonly startedAt: number
	readonly random: Random
	readonly timing: Timing
	readonly controller: LeaderTiming
	readonly policy: LeaderPolicy
	readonly orders: WorkerOrders
	readonly adviser: Adviser
	readonly log: Log
	readonly meter: Meter
	/** Called with an error after which the process must end. */
	readonly onFatalError: (fault: Error) => void
}

/**
 * An instance of the core: replicates the cell's state, forwards calls to the leader, and leads when elected.
 *
 * @example
 * ```ts
 * const core = new CoreInstance(parts)
 * await core.start()
 * const reply = await core.call({ kind: 'read-configuration' }, limits)
 * ```
 * @public
 */
export class CoreInstance {
	/** Unique id of this start of the instance. */
	private readonly incarnation = randomUUID()
	private readonly state = new CellState()
	private readonly machine = new CellMachine(this.state)
	private readonly links: PeerLinks
	private readonly advisers: PeerAdvisers
	private readonly carrier: OrderCarrier
	private readonly relay: CallRelay
	private readonly heartbeats: HeartbeatBatcher
	private readonly news: NewsBroadcaster
	private readonly faults: CallFaults
	private readonly load: InstanceLoad
	private readonly loads: CellLoads
	/** When each peer last sent a message, on the instance's clock. */
	private readonly lastHeardAt = new Map<string, number>()
	private group!: Group
	private session: LeaderSession | undefined
	private timers: Timer[] = []
	private loggedLeader = ''
	/** The members that were logged last; the group replaces the list whenever it changes. */
	private loggedMembers: readonly Member[] = []

	constructor(private readonly parts: CoreParts) {
		const { clock, address: self, adviser } = parts
		this.load = new InstanceLoad(parts.capacity, TICK_INTERVAL_MS, clock.now())
		this.loads = new CellLoads(self, this.load)
		this.faults = new CallFaults(clock, parts.log, parts.meter)
		this.links = new PeerLinks({
			self,
			newsTtl: CORE_NEWS_TTL_MS,
			clock,
			log: parts.log,
			meter: parts.meter,
			onEvent: (from, event) => this.onEvent(from, event),
			onPeerLost: (peer) => this.onPeerLost(peer),
			localLeader: () => this.localLeader(),
		})
		this.relay = new CallRelay(this.links.calls, clock)
		const peers = (): readonly string[] => this.links.hub.connected
		this.advisers = new PeerAdvisers({
			self,
			adviser,
			calls: this.links.calls,
			peers,
			standing: (id) => this.loads.standingOf(id, clock.now()),
		})
		this.heartbeats = new HeartbeatBatcher({
			workers: this.state.workers,
			clock,
			report: (heard) =>
				this.links.leaderCalls.call({ kind: 'heartbeats', heard }, HEARTBEAT_RETRY_LIMITS),
			canReport: () => this.links.view.leader(clock.now()) !== undefined,
			onRefusingChanged: (active) => parts.log.warn(MemberEvent.HeartbeatsRefused, { active }),
		})
		this.news = new NewsBroadcaster({
			self,
			incarnation: this.incarnation,
			clock,
			links: this.links,
			replica: () => this.group.replica,
			load: () => this.loads.report(),
			isRelayed: () => this.state.workers.size >= MIN_WORKERS_TO_RELAY,
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

	/** The replica's view of the group, for the status endpoint. */
	get status() {
		return this.group.replica.status
	}

	/** Opens the data folder and connects to the peers. */
	async start(): Promise<void> {
		this.group = await this.openGroup()
		this.machine.onApplied = () => this.session?.onEntryApplied()
		await this.links.hub.listen(this.parts.address)
		this.dial()
		const { clock } = this.parts
		this.timers = [
			clock.every(TICK_INTERVAL_MS, () => this.tick()),
			clock.every(NEWS_INTERVAL_MS, () => this.news.broadcastPeriodically()),
			clock.every(GAUGE_INTERVAL_MS, () => this.updateGauges()),
		]
	}

	/** Sends a call to the leader, be it this instance or another. */
	call(call: CellCall, limits: RetryLimits): Promise<CellReply> {
		if (call.kind !== 'heartbeat' || this.session) return this.links.leaderCalls.call(call, limits)
		const handling = this.heartbeats.handle(call.heartbeat)
		switch (handling) {
			case HeartbeatHandling.Batched:
				return Promise.resolve({ kind: 'noted' })
			case HeartbeatHandling.Refused:
				return Promise.resolve(LEADER_UNREACHABLE)
			case HeartbeatHandling.Deferred:
				return this.deferHeartbeat(call.heartbeat)
			case HeartbeatHandling.Forwarded:
				return this.links.leaderCalls.call(call, limits)
			default:
				return exhaustive(handling)
		}
	}

	private async deferHeartbeat(heartbeat: Heartbeat): Promise<CellReply> {
		const isBatched = await this.heartbeats.defer(heartbeat)
		return isBatched ? { kind: 'noted' } : LEADER_UNREACHABLE
	}

	/** Hands leadership over, if this instance leads, and stops. */
	async stop(): Promise<void> {
		const { clock } = this.parts
		const wait = (span: number) => new Promise<void>((done) => clock.after(span, done))
		const until = clock.now() + HAND_OVER_TIMEOUT_MS
		if (this.group.replica.isLeader) this.group.transferLeadership()
		while (this.group.replica.isLeader && clock.now() < until) await wait(TICK_INTERVAL_MS)
		await wait(LAST_CALLS_MS)
		for (const timer of this.timers) timer.cancel()
		this.endSession()
		await this.group.stop()
		this.links.hub.close()
	}

	private async openGroup(): Promise<Group> {
		const { address, dataCentre, data, clock, random, timing, log, onFatalError, startedAt } =
			this.parts
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
			fail: onFatalError,
			onBatchHandled: () => this.onGroupSettled(),
		})
	}

	private founders(): Founder[] {
		if (!this.parts.isFounding) return []
		return this.parts.seeds().map((id) => ({ id, durable: true, local: true }))
	}

	private tick(): void {
		this.load.tick(this.parts.clock.now())
		this.group.tick()
		this.onGroupSettled()
		if (this.session && this.group.mayAct) this.session.tick()
		this.dial()
	}

	/** Updates the gauges. */
	private updateGauges(): void {
		const { meter } = this.parts
		const { term, members } = this.group.replica.status
		meter.gauge(Measure.LoopDelay, this.load.loopDelay)
		meter.gauge(Measure.Term, term)
		meter.gauge(Measure.Leads, this.session ? 1 : 0)
		meter.gauge(Measure.Voters, members.filter((member) => member.voter).length)
		this.session?.updateGauges()
	}

	/**
	 * Starts or ends a leader session after a change of the group's state, and logs a new leader or
	 * new members.
	 */
	private onGroupSettled(): void {
		const { replica } = this.group
		const { term, leader, members } = replica.status
		if (this.session && (!replica.isLeader || term !== this.session.term)) this.endSession()
		if (!this.session && this.group.mayAct) this.startSession(term)
		if (leader !== this.loggedLeader) {
			this.loggedLeader = leader
			this.parts.log.info(MemberEvent.LeaderChanged, { leader, term })
			this.news.broadcast()
		}
		if (members === this.loggedMembers) return
		const named = namesOf(members)
		const before = namesOf(this.loggedMembers)
		this.loggedMembers = members
		if (named !== before) this.parts.log.info(MemberEvent.MembersChanged, { members: named })
	}

	private startSession(term: number): void {
		const { clock, random, controller: timing, policy, log, meter } = this.parts
		const { group, state, advisers } = this
		this.session = new LeaderSession({
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
			loopDelay: () => this.load.recentLoopDelay,
		})
		this.news.broadcast()
		this.session.scheduleTurn()
	}

	private carriedOrders(term: number): CarriedOrders {
		const { clock, orders: direct, log, meter } = this.parts
		return new CarriedOrders({
			direct,
			term,
			incarnation: this.incarnation,
			clock,
			log,
			linkedCarriers: () => this.linkedMembers(),
			weights: new CarrierWeights(this.loads.core, log, meter),
			lastHeardAt: (id) => this.lastHeardAt.get(id) ?? Number.NEGATIVE_INFINITY,
			workerCount: () => this.state.workers.size,
			send: (to, value) => this.links.hub.send(to, { body: { $case: 'orderBatch', value } }),
		})
	}

	private linkedMembers(): Carrier[] {
		const { members } = this.group.replica.status
		return members.filter(({ id }) => id !== this.parts.address && this.links.hub.isConnected(id))
	}

	private onPeerLost(peer: string): void {
		this.loads.onLinkLost(peer)
		this.session?.onLinkLost(peer)
	}

	private endSession(): void {
		this.session?.end()
		this.session = undefined
	}

	/** @returns this instance as the leader; undefined while it may not act as such. */
	private localLeader(): LocalLeader | undefined {
		const { session, faults } = this
		if (!session || !this.group.mayAct) return undefined
		return {
			term: session.term,
			call: (call, done) => faults.handle(call, done, () => session.call(call, done)),
		}
	}

	private onEvent(from: string, { body }: Event): void {
		const now = this.parts.clock.now()
		this.lastHeardAt.set(from, now)
		if (!body) return
		if (body.$case === 'group') this.group.receive(body.value)
		else if (body.$case === 'peerCall') this.onPeerCall(from, body.value)
		else if (body.$case === 'cellNews') {
			this.links.view.update(from, body.value, now)
			this.carrier.onMessage(from, body.value.sent)
			this.loads.core.update(from, body.value.load, now)
		} else if (body.$case === 'orderBatch') this.carrier.onOrders(from, body.value)
		else if (body.$case === 'orderResults') this.session?.onOrderResults(body.value)
		else if (body.$case === 'peerReply') {
			this.loads.entry.update(from, body.value.load, now)
			this.links.calls.onReply(body.value)
			this.session?.scheduleTurn()
		}
	}

	private onPeerCall(from: string, call: PeerCall): void {
		const reply = (value: CellReply): void => this.links.calls.reply(from, call.id, value)
		const decoded = decodeCall(call.body)
		if (!decoded) return this.faults.onUnreadable(from)
		if (decoded.kind === 'advise') {
			void answerQuestion(this.parts.adviser, decoded.question).then(reply)
			return
		}
		if (this.session) {
			const leader = this.localLeader()
			if (leader?.term === call.term) leader.call(decoded, reply)
			else reply({ kind: 'not-leader' })
			return
		}
		const leader = this.group.replica.status.leader
		if (call.hops > 0 || leader === '') {
			reply({ kind: 'not-leader' })
			return
		}
		this.relay.relay(leader, call, reply)
	}

	/**
	 * @returns seeds and members of the core, without this instance; before it knows any member,
	 * also those that it has heard of.
	 */
	private peersToDial(): string[] {
		const { address, seeds } = this.parts
		const replica = this.group?.replica
		const members = replica?.status.members.map((member) => member.id) ?? []
		const heard = members.length === 0 ? [...(replica?.reportedMembers ?? [])] : []
		const known = new Set([...seeds(), ...members, ...heard])
		known.delete(address)
		return [...known]
	}

	private dial(): void {
		this.links.dialOnly(this.peersToDial())
	}
}

/** Joins the ids of members; a question mark follows those without a vote. */
function namesOf(members: readonly Member[]): string {
	return members.map((one) => `${one.id}${one.voter ? '' : '?'}`).join()
}
