/** Hosts one data centre's group in this process, with the driver of its controllers. */
import {
	LeaderDriver,
	Environment,
	type ListedWorker,
	type GroupCall,
	type OperatorCall,
	type OperatorReply,
	type ReplyCallback,
	type SettleCall,
	type WorkerExchange,
} from '@rillrudder/cell'
import type { Group } from '@rillrudder/group'
import type { Event } from '@rillrudder/protocol'
import { isDown, type InForce } from '@rillrudder/settings'
import { Metric, type Metrics } from '@rillrudder/telemetry'
import { Mailbox } from '@rillrudder/utils'
import type { WorkerClient } from '../workers/WorkerClient'
import { openGroup, type GroupHostParts } from './openGroup'
import { ReplicaAccess } from './ReplicaAccess'

/** Dependencies of `DataCentreHost`. @internal */
export interface DataCentreHostParts extends GroupHostParts {
	readonly metrics: Metrics
	readonly dataCentres: readonly string[]
	readonly inForce: () => InForce
	/** Calls the leader of another group. */
	readonly callGroup: (group: string, call: OperatorCall) => Promise<OperatorReply>
	readonly workers: WorkerClient
}

/** Gives the driver access to the clock, the links and the worker client of this process. */
class ProcessEnvironment extends Environment {
	constructor(
		private readonly parts: DataCentreHostParts,
		private readonly post: (action: (driver: LeaderDriver) => void) => void
	) {
		super()
	}

	override now(): number {
		return this.parts.clock.now()
	}

	override at(): number {
		return this.parts.clock.date().getTime()
	}

	override send(to: string, event: Event): void {
		this.parts.send(to, event)
	}

	override exchange(exchange: WorkerExchange): void {
		this.parts.metrics.count(Metric.Exchanges)
		void this.parts.workers
			.exchange(exchange)
			.then((reply) => this.post((driver) => driver.onExchangeReply(exchange.worker, reply)))
	}

	override settle(call: SettleCall): void {
		void this.parts.workers
			.settle(call)
			.then((reply) => reply && this.post((driver) => driver.onSettleReply(call, reply)))
	}

	override callGroup(call: GroupCall): void {
		void this.parts
			.callGroup(call.group, call.call)
			.then((reply) => this.post((driver) => driver.onClaimReply(call, reply)))
	}

	override onLeadershipChanged(gained: boolean): void {
		const { log, metrics, layout } = this.parts
		if (gained) metrics.count(Metric.LeadershipGained, 1, layout.name)
		log.info(gained ? 'leadership-gained' : 'leadership-lost', { group: layout.name })
	}
}

/**
 * Hosts one data centre's group in this process.
 *
 * @internal
 */
export class DataCentreHost {
	private readonly driver: LeaderDriver
	private readonly mailbox = new Mailbox<(driver: LeaderDriver) => void>()
	private group!: Group

	constructor(private readonly parts: DataCentreHostParts) {
		const { layout, self, random, dataCentres, inForce } = parts
		const { name } = layout
		const surroundings = new ProcessEnvironment(parts, (action) => void this.mailbox.post(action))
		this.driver = new LeaderDriver({
			name,
			self,
			random,
			dataCentres,
			inForce,
			environment: surroundings,
		})
	}

	/** Name of the data centre. */
	get name(): string {
		return this.parts.layout.name
	}

	/** The group, once started. */
	get replicaGroup(): Group {
		return this.group
	}

	/** Whether this process leads the data centre's group. */
	get leads(): boolean {
		return this.driver.leads
	}

	async start(): Promise<void> {
		this.group = await openGroup(this.parts, this.driver.state, () => this.onGroupAdvanced())
		this.driver.join(new ReplicaAccess(this.group, () => this.isFenced))
		this.mailbox.serve(
			`controller ${this.name}`,
			(batch) => this.runBatch(batch),
			this.parts.onFault
		)
	}

	/** Handles an event from a peer; ignored while the data centre is fenced. */
	receive(from: string, event: Event): void {
		if (this.isFenced) return
		if (event.body?.$case === 'group') this.group.receive(event.body.value)
		else this.post((driver) => driver.receive(from, event))
	}

	/** Handles an operator's call, or replies with the current leader. */
	call(call: OperatorCall, reply: ReplyCallback): void {
		this.post((driver) => driver.onOperatorCall(call, reply))
	}

	/** Passes the platform's worker list to the driver. */
	onPlatformList(workers: readonly ListedWorker[]): void {
		this.post((driver) => driver.onWorkerList(workers))
	}

	/** Applies a change of the configuration. */
	onConfigurationChanged(): void {
		this.post((driver) => driver.onConfigurationChanged())
	}

	/** Hands leadership over, for a planned stop. */
	handOver(): void {
		this.group.transferLeadership()
	}

	async stop(): Promise<void> {
		this.mailbox.close()
		await this.group.stop()
	}

	/**
	 * Whether the data centre was declared down. Its replicas then ignore all events, so that the group
	 * has no quorum if the data centre comes back.
	 */
	private get isFenced(): boolean {
		return isDown(this.parts.inForce().fences, this.name)
	}

	private post(action: (driver: LeaderDriver) => void): void {
		this.mailbox.post(action)
	}

	private runBatch(batch: ((driver: LeaderDriver) => void)[]): void {
		for (const action of batch) action(this.driver)
		this.driver.carryOut()
	}

	/** Advances the timers of the replica and, on the leader, of the controllers. */
	tick(): void {
		this.group.tick()
		if (this.driver.leads) this.post(() => this.tickController())
	}

	private tickController(): void {
		this.driver.tick()
		const { requestsOpen, tasksWaiting, tasksRunning, workersClosed } = this.driver.stats
		const { metrics } = this.parts
		metrics.gauge(Metric.RequestsOpen, requestsOpen, this.name)
		metrics.gauge(Metric.TasksWaiting, tasksWaiting, this.name)
		metrics.gauge(Metric.TasksRunning, tasksRunning, this.name)
		metrics.gauge(Metric.WorkersClosed, workersClosed, this.name)
	}

	private onGroupAdvanced(): void {
		const applied = this.driver.followGroup()
		this.parts.metrics.count(Metric.Commands, applied, this.name)
		this.driver.carryOut()
	}
}
