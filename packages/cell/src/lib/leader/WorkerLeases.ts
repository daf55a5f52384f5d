/** Exchanges with workers: orders, lease renewals, and the expiry of an unreachable worker's leases. */
import type { DataCentreState } from '../state/DataCentreState'
import { TaskPhase, type TaskRecord } from '../state/TaskTable'
import type { Effects, Moment } from './Effects'
import { addDriftMargin, TASK_LEASE_MS } from './timing'
import type { ExchangeReply, StartOrder, TaskOrder, ThrottleOrder } from './workerProtocol'

const RENEW_INTERVAL_MS = TASK_LEASE_MS / 3
const RETRY_INTERVAL_MS = 1000
const NO_STAMP = -1

/** The leases of all tasks on one worker, and the orders for it. */
class Lease {
	/** Newest stamp that the worker has sent. */
	stamp = NO_STAMP
	/** When the reply with the stamp arrived; the worker made the stamp earlier. */
	stampedAt = Number.NEGATIVE_INFINITY
	/** Arrival time of the newest stamp that was sent back; the leases expire one duration after it. */
	renewedAt: number
	sentAt = Number.NEGATIVE_INFINITY
	/** Whether an exchange is in flight. */
	isInFlight = false
	readonly placed = new Map<string, TaskRecord>()
	/** Start orders that no reply has confirmed yet. */
	readonly start = new Map<string, TaskRecord>()
	readonly stop = new Map<string, TaskOrder>()
	readonly checkpoint = new Map<string, TaskOrder>()
	readonly throttle = new Map<string, ThrottleOrder>()
	/** Tasks that the worker has confirmed as running. */
	readonly confirmed = new Set<string>()
	/** Whether there are orders that have not been sent. */
	hasUnsentOrders = false
	/** Whether the worker's newest reply reports that it takes no new work. */
	leaving = false
	/** Start orders that are part of the exchange in flight. */
	sentStarts: TaskRecord[] = []

	constructor(now: number) {
		this.renewedAt = now
	}

	forget(task: string): void {
		this.placed.delete(task)
		this.start.delete(task)
		this.stop.delete(task)
		this.checkpoint.delete(task)
		this.throttle.delete(task)
		this.confirmed.delete(task)
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

	/** Restarts every lease now, since the previous leader may have renewed it just before. */
	takeOver(now: number): void {
		this.leases.clear()
		this.now = now
		for (const record of this.state.tasks.all()) {
			if (record.phase !== TaskPhase.Placed) continue
			const lease = this.leaseOf(record.worker)
			lease.placed.set(record.task.id, record)
			lease.start.set(record.task.id, record)
			lease.hasUnsentOrders = true
		}
	}

	clear(): void {
		this.leases.clear()
	}

	/** @returns the tasks that are placed on a worker. */
	placedOn(worker: string): TaskRecord[] {
		return [...(this.leases.get(worker)?.placed.values() ?? [])]
	}

	orderStart(record: TaskRecord): void {
		const lease = this.leaseOf(record.worker)
		if (lease.placed.size === 0) lease.renewedAt = Math.max(lease.renewedAt, this.now)
		lease.forget(record.task.id)
		lease.placed.set(record.task.id, record)
		lease.start.set(record.task.id, record)
		lease.hasUnsentOrders = true
	}

	/**
	 * Withdraws a start order that no reply has confirmed. A stop order is sent instead, after which the
	 * worker refuses the start order however late it arrives.
	 *
	 * @returns false if the task has been confirmed as running.
	 */
	withdrawStart(record: TaskRecord): boolean {
		const lease = this.leaseOf(record.worker)
		if (!lease.start.delete(record.task.id)) return false
		this.orderStop(record)
		return true
	}

	orderStop(record: TaskRecord): void {
		const lease = this.leaseOf(record.worker)
		lease.stop.set(record.task.id, toTaskOrder(record))
		lease.hasUnsentOrders = true
	}

	orderCheckpoint(record: TaskRecord): void {
		const lease = this.leaseOf(record.worker)
		lease.checkpoint.set(record.task.id, toTaskOrder(record))
		lease.hasUnsentOrders = true
	}

	orderThrottle(record: TaskRecord, cpu: number): void {
		const lease = this.leaseOf(record.worker)
		lease.throttle.set(record.task.id, { ...toTaskOrder(record), cpu })
		lease.hasUnsentOrders = true
	}

	/** Removes a task's throttle order once its worker has replied. @returns the reduced processors. */
	takeThrottle(record: TaskRecord): number | undefined {
		const lease = this.leases.get(record.worker)
		const order = lease?.throttle.get(record.task.id)
		if (!lease || !order) return undefined
		lease.throttle.delete(record.task.id)
		return order.cpu
	}

	/** Handles a reply: records its stamp and the start orders that it confirms. */
	onReply(worker: string, reply: ExchangeReply, now: number): void {
		this.now = now
		const lease = this.leaseOf(worker)
		lease.isInFlight = false
		if (reply.stamp > lease.stamp) {
			lease.stamp = reply.stamp
			lease.stampedAt = now
		}
		const known = new Set(reply.running.map((one) => one.task))
		for (const record of lease.sentStarts) {
			const { id } = record.task
			if (!known.has(id)) continue
			lease.start.delete(id)
			lease.confirmed.add(id)
		}
		lease.sentStarts = []
		lease.leaving = reply.leaving
		for (const one of reply.refused) lease.start.delete(one.task)
		if (lease.start.size > 0 && !lease.leaving) lease.hasUnsentOrders = true
	}

	/** @returns tasks that the worker confirmed as running earlier but no longer reports. */
	missing(worker: string, reply: ExchangeReply): TaskRecord[] {
		const lease = this.leaseOf(worker)
		const named = new Set([
			...reply.running.map((one) => one.task),
			...reply.ended.map((one) => one.task),
			...reply.refused.map((one) => one.task),
		])
		return [...lease.placed.values()].filter((record) => {
			const { id } = record.task
			return lease.confirmed.has(id) && !named.has(id)
		})
	}

	/** Handles an exchange without a reply. */
	onExchangeFailed(worker: string): void {
		const lease = this.leases.get(worker)
		if (!lease) return
		lease.isInFlight = false
		lease.sentStarts = []
		lease.hasUnsentOrders = lease.start.size + lease.stop.size + lease.checkpoint.size > 0
	}

	/** @returns the tasks whose leases have certainly expired. */
	expired(now: number): TaskRecord[] {
		const expired: TaskRecord[] = []
		for (const lease of this.leases.values()) {
			this.dropMoved(lease)
			if (now - lease.renewedAt > addDriftMargin(TASK_LEASE_MS))
				expired.push(...lease.placed.values())
		}
		return expired
	}

	/** Sends due exchanges: orders immediately, renewals every third of a lease. */
	tick(moment: Moment): void {
		this.now = moment.now
		for (const [worker, lease] of this.leases) {
			if (lease.placed.size === 0 && !lease.hasUnsentOrders) {
				if (lease.stop.size === 0) this.leases.delete(worker)
				continue
			}
			const elapsedMs = moment.now - lease.sentAt
			const intervalMs = lease.stamp === NO_STAMP ? RETRY_INTERVAL_MS : RENEW_INTERVAL_MS
			if (
				lease.isInFlight
					? elapsedMs < TASK_LEASE_MS
					: !lease.hasUnsentOrders && elapsedMs < intervalMs
			)
				continue
			this.send(worker, lease, moment)
		}
	}

	private send(worker: string, lease: Lease, moment: Moment): void {
		const address = this.state.workers.find(worker)?.address
		if (address === undefined) return
		const isFirst = lease.stamp === NO_STAMP
		lease.isInFlight = true
		lease.sentAt = moment.now
		lease.hasUnsentOrders = isFirst
		if (!isFirst) lease.renewedAt = Math.max(lease.renewedAt, lease.stampedAt)
		lease.sentStarts = isFirst || lease.leaving ? [] : [...lease.start.values()]
		this.effects.exchanges.push({
			worker,
			address,
			call: {
				term: moment.term,
				stamp: lease.stamp,
				leaseMs: TASK_LEASE_MS,
				start: lease.sentStarts.map(toStartOrder),
				stop: [...lease.stop.values()],
				checkpoint: [...lease.checkpoint.values()],
				throttle: [...lease.throttle.values()],
			},
		})
	}

	/** Removes tasks that are no longer placed on this worker. */
	private dropMoved(lease: Lease): void {
		for (const [id, record] of lease.placed) {
			const isHere = record.phase === TaskPhase.Placed && this.leaseOf(record.worker) === lease
			if (!isHere) lease.forget(id)
		}
	}

	private leaseOf(worker: string): Lease {
		let lease = this.leases.get(worker)
		if (!lease) {
			lease = new Lease(this.now)
			this.leases.set(worker, lease)
		}
		return lease
	}
}

function toTaskOrder(record: TaskRecord): TaskOrder {
	return { task: record.task.id, fence: record.fence }
}

function toStartOrder(record: TaskRecord): StartOrder {
	const { cpu, memory, accelerators } = record.reserved ?? record.task.need
	const { command } = record
	return { ...toTaskOrder(record), cpu, memory, accelerators, command }
}
