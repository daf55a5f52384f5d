/**
 * The orders of one leadership, carried to workers by other instances of the core. Decisions,
 * leases and the detection of lost workers stay with the leader. An unresponsive carrier is told
 * apart from an unresponsive worker: its orders are returned as not carried, and are sent directly
 * from here while the carrier is in backoff.
 */
import {
	WorkerOrders,
	type OrderResult,
	type OrderTarget,
	type PaceOrder,
	type PollOrder,
	type PollResult,
	type StartOrder,
	type StopOrder,
} from '@rillrudder/jobs'
import type { OrderBatch, OrderResults } from '@rillrudder/protocol'
import type { Log } from '@rillrudder/telemetry'
import type { Clock, Timer } from '@rillrudder/utils'
import type { CarrierWeights, WeightedCarrier } from '../load/CarrierWeights'
import { MemberEvent } from '../MemberEvent'
import { ORDER_TIMEOUT_MS } from './OrderCarrier'
import { decodeResults, encodeCarried, type CarriedBody, type CarriedOrder } from './CarriedOrder'
import { CarrierSelector, type Carrier } from './CarrierSelector'

/**
 * Number of workers from which orders are carried. With fewer, the leader has processor time to
 * spare (0.2 of a core at 33 workers), and a hop would only add latency.
 */
const MIN_WORKERS = 100
/**
 * Milliseconds without a message after which a carrier counts as unresponsive; replicas answer
 * every 50. A false alarm costs a second copy of its orders; waiting longer delays each of them,
 * and urgent starts have only 0.5 s to spare.
 */
const SILENCE_TIMEOUT_MS = 160
/** Milliseconds for which an instance that failed to carry an order gets no orders. */
const CARRIER_BACKOFF_MS = 1000
/**
 * Milliseconds for which orders to one instance are batched after the previous message: a message
 * costs both ends as much as many orders in it. The first one is sent at once, and none is delayed
 * by more than a commit.
 */
const BATCH_DELAY_MS = 8
/**
 * Milliseconds between two ticks beyond which the leader itself was late, so that carriers are not
 * taken as unresponsive.
 */
const LATE_TICK_MS = 100

/** Dependencies of carried orders. @public */
export interface CarriedOrdersParts {
	/** Sends orders to workers directly from this instance. */
	readonly direct: WorkerOrders
	/** Term of the leadership. */
	readonly term: number
	/** Unique id of this start of the instance. */
	readonly incarnation: string
	readonly clock: Clock
	readonly log: Log
	/** Instances of the core that are linked at the moment, without this one. */
	readonly linkedCarriers: () => readonly Carrier[]
	/** The share of workers that each of them gets; equal shares if absent. */
	readonly weights?: CarrierWeights
	/** @returns when an instance last sent a message, on this instance's clock. */
	readonly lastHeardAt: (id: string) => number
	/** @returns the number of workers of the cell. */
	readonly workerCount: () => number
	/** Sends orders to an instance. @returns false if they were certainly not sent. */
	readonly send: (to: string, batch: OrderBatch) => boolean
}

interface Pending {
	readonly carrier: string
	readonly deadline: number
	readonly done: (result: Result) => void
}

type Result = OrderResult | PollResult

/**
 * Sends orders to workers through carriers, or directly where there is none.
 *
 * @public
 */
export class CarriedOrders extends WorkerOrders {
	private readonly selector = new CarrierSelector()
	private readonly pending = new Map<number, Pending>()
	private readonly outgoing = new Map<string, CarriedOrder[]>()
	/** When orders were last sent to each instance. */
	private readonly sentAt = new Map<string, number>()
	/** Set while orders wait for the next batch. */
	private timer: Timer | undefined
	/** Until when instances that failed to carry an order get none. */
	private readonly backoffUntil = new Map<string, number>()
	private lastId = 0
	private lastTickAt: number
	/**
	 * Stays set once there were enough workers, so that the loss of a few doesn't close the
	 * carriers' connections.
	 */
	private isCarrying = false

	constructor(private readonly parts: CarriedOrdersParts) {
		super()
		this.lastTickAt = parts.clock.now()
		this.refresh(this.lastTickAt)
	}

	override get maxProbesPerTick(): number {
		return super.maxProbesPerTick * (1 + this.selector.size)
	}

	override start(
		worker: OrderTarget,
		order: StartOrder,
		done: (result: OrderResult) => void
	): void {
		const carried = this.carry(worker, { kind: 'start', order }, ORDER_TIMEOUT_MS, done as Done)
		if (!carried) this.parts.direct.start(worker, order, done)
	}

	override stop(worker: OrderTarget, order: StopOrder, done: (result: OrderResult) => void): void {
		const carried = this.carry(worker, { kind: 'stop', order }, ORDER_TIMEOUT_MS, done as Done)
		if (!carried) this.parts.direct.stop(worker, order, done)
	}

	override pace(worker: OrderTarget, order: PaceOrder, done: (result: OrderResult) => void): void {
		const carried = this.carry(worker, { kind: 'pace', order }, ORDER_TIMEOUT_MS, done as Done)
		if (!carried) this.parts.direct.pace(worker, order, done)
	}

	override poll(worker: OrderTarget, order: PollOrder, done: (result: PollResult) => void): void {
		const limit = ORDER_TIMEOUT_MS + order.wait
		const carried = this.carry(worker, { kind: 'poll', order }, limit, done as Done)
		if (!carried) this.parts.direct.poll(worker, order, done)
	}

	/** Handles the results that a carrier returns; those of another term are ignored. */
	onResults({ term, body }: OrderResults): void {
		if (term !== this.parts.term) return
		for (const { id, result } of decodeResults(body)) this.settle(id, result)
	}

	/** Sends the batches that are due; called at the end of every turn that may have given orders. */
	flush(): void {
		const now = this.parts.clock.now()
		for (const [carrier, orders] of [...this.outgoing]) {
			const delay = (this.sentAt.get(carrier) ?? Number.NEGATIVE_INFINITY) + BATCH_DELAY_MS - now
			if (delay > 0) this.flushAfter(delay)
			else this.sendTo(carrier, orders, now)
		}
	}

	/** Detects carriers that are unresponsive or overdue, and those that can carry again. */
	tick(now: number): void {
		const isLate = now - this.lastTickAt > LATE_TICK_MS
		this.lastTickAt = now
		if (!isLate) this.failUnresponsive(now)
		this.failOverdue(now)
		this.refresh(now)
	}

	/** Returns the orders of a carrier as not carried after its link is lost. */
	onLinkLost(carrier: string): void {
		this.fail(carrier, 'the link is lost')
	}

	/** Ends the leadership: pending orders get no result. */
	end(): void {
		this.timer?.cancel()
		this.pending.clear()
		this.outgoing.clear()
	}

	/** Queues an order for a carrier. @returns whether there is one for the worker. */
	private carry(worker: OrderTarget, body: CarriedBody, limit: number, done: Done): boolean {
		const carrier = this.isCarrying ? this.selector.carrierFor(worker) : undefined
		if (carrier === undefined) return false
		const id = ++this.lastId
		const deadline = this.parts.clock.now() + limit
		this.pending.set(id, { carrier, deadline, done })
		const { id: name, address, dataCentre } = worker
		this.queue(carrier, { id, worker: { id: name, address, dataCentre }, body })
		return true
	}

	private queue(carrier: string, order: CarriedOrder): void {
		const waiting = this.outgoing.get(carrier)
		if (waiting) waiting.push(order)
		else this.outgoing.set(carrier, [order])
	}

	private flushAfter(delay: number): void {
		this.timer ??= this.parts.clock.after(delay, () => {
			this.timer = undefined
			this.flush()
		})
	}

	private sendTo(carrier: string, orders: readonly CarriedOrder[], now: number): void {
		if (!this.outgoing.delete(carrier)) return
		this.sentAt.set(carrier, now)
		const { term, incarnation } = this.parts
		const batch = { term, body: encodeCarried(orders), sent: { life: incarnation, at: now } }
		if (!this.parts.send(carrier, batch)) this.fail(carrier, 'there is no link')
	}

	private settle(id: number, result: Result): void {
		const pending = this.pending.get(id)
		if (!pending) return
		this.pending.delete(id)
		pending.done(result)
	}

	private failUnresponsive(now: number): void {
		const unresponsive = new Set<string>()
		for (const { carrier } of this.pending.values()) {
			if (this.isUnresponsive(carrier, now)) unresponsive.add(carrier)
		}
		for (const carrier of unresponsive) this.fail(carrier, 'it is unresponsive')
	}

	private failOverdue(now: number): void {
		const overdue = new Set<string>()
		for (const { carrier, deadline } of this.pending.values()) {
			if (now > deadline) overdue.add(carrier)
		}
		for (const carrier of overdue) this.fail(carrier, 'an order timed out')
	}

	private isUnresponsive(carrier: string, now: number): boolean {
		return now - this.parts.lastHeardAt(carrier) > SILENCE_TIMEOUT_MS
	}

	/**
	 * Returns the pending orders of a carrier as not carried, since their outcome is unknown, and
	 * puts it into backoff.
	 */
	private fail(carrier: string, reason: string): void {
		const { clock, log } = this.parts
		const lost = [...this.pending].filter(([, pending]) => pending.carrier === carrier)
		this.selector.remove(carrier)
		this.outgoing.delete(carrier)
		if (lost.length === 0) return
		this.backoffUntil.set(carrier, clock.now() + CARRIER_BACKOFF_MS)
		log.warn(MemberEvent.CarrierLost, { peer: carrier, reason, orders: lost.length })
		for (const [id] of lost) this.settle(id, { kind: 'not-carried' })
	}

	private refresh(now: number): void {
		const { linkedCarriers, workerCount } = this.parts
		this.isCarrying ||= workerCount() >= MIN_WORKERS
		if (!this.isCarrying) return
		const usable = linkedCarriers().filter(
			({ id }) => !this.isUnresponsive(id, now) && (this.backoffUntil.get(id) ?? 0) <= now
		)
		const { weights } = this.parts
		this.selector.setCarriers(weights ? weights.weigh(usable, now) : usable.map(withEqualWeight))
	}
}

function withEqualWeight(carrier: Carrier): WeightedCarrier {
	return { ...carrier, weight: 1, kept: 1 }
}

type Done = (result: Result) => void
