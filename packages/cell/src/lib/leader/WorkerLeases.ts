/** The exchanges with workers: orders, renewals, and when a silent worker's leases are certainly over. */
import type { DataCentreState } from '../state/DataCentreState'
import { TaskPhase, type TaskRecord } from '../state/TaskTable'
import type { Effects, Moment } from './Effects'
import { addDriftMargin, TASK_LEASE_MS } from './timing'
import type { ExchangeReply, StartOrder, TaskOrder, ThrottleOrder } from './workerProtocol'

const RENEW_EVERY = TASK_LEASE_MS / 3
const RETRY_EVERY = 1000
const NO_STAMP = -1

class Lease {
	stamp = NO_STAMP
	/** When the reply that carried the stamp came; the worker made the stamp before. */
	stampedAt = Number.NEGATIVE_INFINITY
	/** When the newest stamp that was sent back had come: the leases end one span after it. */
	renewedAt: number
	sentAt = Number.NEGATIVE_INFINITY
	/** Whether an exchange is under way. */
	under = false
	readonly placed = new Map<string, TaskRecord>()
	/** Orders to start that no reply has confirmed yet. */
	readonly start = new Map<string, TaskRecord>()
	readonly stop = new Map<string, TaskOrder>()
	readonly checkpoint = new Map<string, TaskOrder>()
	readonly throttle = new Map<string, ThrottleOrder>()
	/** Tasks that the worker has confirmed to run. */
	readonly seen = new Set<string>()
	/** Whether there are orders that have not been sent. */
	fresh = false
	/** Whether its newest reply said that it takes no new work. */
	leaving = false
	/** Starts that were part of the exchange under way. */
	sent: TaskRecord[] = []

	constructor(now: number) {
		this.renewedAt = now
	}

	forget(task: string): void {
		this.placed.delete(task)
		this.start.delete(task)
		this.stop.delete(task)
		this.checkpoint.delete(task)
		this.throttle.delete(task)
		this.seen.delete(task)
	}
}

/**
 * The leases of all workers that have tasks.
 *
 * @internal
 */
export class WorkerLeases {
	private readonly leases = new Map<string, Lease>()
	private now = 0

	constructor(
		private readonly state: DataCentreState,
		private readonly effects: Effects
	) {}

	/** Counts every lease anew from now: the leader before may have renewed it until just now. */
	takeOver(now: number): void {
		this.leases.clear()
		this.now = now
		for (const record of this.state.tasks.all()) {
			if (record.phase !== TaskPhase.Placed) continue
			const lease = this.of(record.worker)
			lease.placed.set(record.task.id, record)
			lease.start.set(record.task.id, record)
			lease.fresh = true
		}
	}

	clear(): void {
		this.leases.clear()
	}

	/** Tasks that are placed on a worker. */
	placedOn(worker: string): TaskRecord[] {
		return [...(this.leases.get(worker)?.placed.values() ?? [])]
	}

	orderStart(record: TaskRecord): void {
		const lease = this.of(record.worker)
		if (lease.placed.size === 0) lease.renewedAt = Math.max(lease.renewedAt, this.now)
		lease.forget(record.task.id)
		lease.placed.set(record.task.id, record)
		lease.start.set(record.task.id, record)
		lease.fresh = true
	}

	/**
	 * Takes back an order that no reply has confirmed: a stop goes out instead, after which the worker
	 * refuses the order however late it comes.
	 *
	 * @returns false when the task has been seen to run.
	 */
	withdrawStart(record: TaskRecord): boolean {
		const lease = this.of(record.worker)
		if (!lease.start.delete(record.task.id)) return false
		this.orderStop(record)
		return true
	}

	orderStop(record: TaskRecord): void {
		const lease = this.of(record.worker)
		lease.stop.set(record.task.id, orderFor(record))
		lease.fresh = true
	}

	orderCheckpoint(record: TaskRecord): void {
		const lease = this.of(record.worker)
		lease.checkpoint.set(record.task.id, orderFor(record))
		lease.fresh = true
	}

	orderThrottle(record: TaskRecord, cpu: number): void {
		const lease = this.of(record.worker)
		lease.throttle.set(record.task.id, { ...orderFor(record), cpu })
		lease.fresh = true
	}

	/** @returns the processors that a task was told to go on with, once its worker has answered. */
	throttledTo(record: TaskRecord): number | undefined {
		const lease = this.leases.get(record.worker)
		const order = lease?.throttle.get(record.task.id)
		if (!lease || !order) return undefined
		lease.throttle.delete(record.task.id)
		return order.cpu
	}

	/** Takes the stamp of a reply. */
	heard(worker: string, reply: ExchangeReply, now: number): void {
		this.now = now
		const lease = this.of(worker)
		lease.under = false
		if (reply.stamp > lease.stamp) {
			lease.stamp = reply.stamp
			lease.stampedAt = now
		}
		const known = new Set(reply.running.map((one) => one.task))
		for (const record of lease.sent) {
			const { id } = record.task
			if (!known.has(id)) continue
			lease.start.delete(id)
			lease.seen.add(id)
		}
		lease.sent = []
		lease.leaving = reply.leaving
		for (const one of reply.refused) lease.start.delete(one.task)
		if (lease.start.size > 0 && !lease.leaving) lease.fresh = true
	}

	/** @returns tasks that the worker ran and no longer knows. */
	missing(worker: string, reply: ExchangeReply): TaskRecord[] {
		const lease = this.of(worker)
		const named = new Set([
			...reply.running.map((one) => one.task),
			...reply.ended.map((one) => one.task),
			...reply.refused.map((one) => one.task),
		])
		return [...lease.placed.values()].filter((record) => {
			const { id } = record.task
			return lease.seen.has(id) && !named.has(id)
		})
	}

	/** An exchange got no answer. */
	failed(worker: string): void {
		const lease = this.leases.get(worker)
		if (!lease) return
		lease.under = false
		lease.sent = []
		lease.fresh = lease.start.size + lease.stop.size + lease.checkpoint.size > 0
	}

	/** @returns tasks on workers whose leases are certainly over. */
	expired(now: number): TaskRecord[] {
		const over: TaskRecord[] = []
		for (const lease of this.leases.values()) {
			this.dropMoved(lease)
			if (now - lease.renewedAt > addDriftMargin(TASK_LEASE_MS)) over.push(...lease.placed.values())
		}
		return over
	}

	/** Sends what is due: orders at once, renewals every third of a lease. */
	tick(moment: Moment): void {
		this.now = moment.now
		for (const [worker, lease] of this.leases) {
			if (lease.placed.size === 0 && !lease.fresh) {
				if (lease.stop.size === 0) this.leases.delete(worker)
				continue
			}
			const since = moment.now - lease.sentAt
			const wait = lease.stamp === NO_STAMP ? RETRY_EVERY : RENEW_EVERY
			if (lease.under ? since < TASK_LEASE_MS : !lease.fresh && since < wait) continue
			this.send(worker, lease, moment)
		}
	}

	private send(worker: string, lease: Lease, moment: Moment): void {
		const address = this.state.workers.find(worker)?.address
		if (address === undefined) return
		const greeting = lease.stamp === NO_STAMP
		lease.under = true
		lease.sentAt = moment.now
		lease.fresh = greeting
		if (!greeting) lease.renewedAt = Math.max(lease.renewedAt, lease.stampedAt)
		lease.sent = greeting || lease.leaving ? [] : [...lease.start.values()]
		this.effects.exchanges.push({
			worker,
			address,
			call: {
				term: moment.term,
				stamp: lease.stamp,
				leaseMs: TASK_LEASE_MS,
				start: lease.sent.map(startOrder),
				stop: [...lease.stop.values()],
				checkpoint: [...lease.checkpoint.values()],
				throttle: [...lease.throttle.values()],
			},
		})
	}

	/** Forgets tasks that the log has moved elsewhere. */
	private dropMoved(lease: Lease): void {
		for (const [id, record] of lease.placed) {
			const here = record.phase === TaskPhase.Placed && this.of(record.worker) === lease
			if (!here) lease.forget(id)
		}
	}

	private of(worker: string): Lease {
		let lease = this.leases.get(worker)
		if (!lease) {
			lease = new Lease(this.now)
			this.leases.set(worker, lease)
		}
		return lease
	}
}

function orderFor(record: TaskRecord): TaskOrder {
	return { task: record.task.id, fence: record.fence }
}

function startOrder(record: TaskRecord): StartOrder {
	const { cpu, memory, accelerators } = record.reserved ?? record.task.need
	const { command } = record
	return { ...orderFor(record), cpu, memory, accelerators, command }
}
