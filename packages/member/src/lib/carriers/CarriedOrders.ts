/**
 * The orders of one leadership, carried to workers by other instances of the core. Decisions, leases and what counts
 * as lost stay with the leader. An instance that falls silent is told from a worker that does so: its orders come back
 * as not carried, and go out again from here while it rests.
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
import type { CarrierSpread, WeightedCarrier } from '../load/CarrierSpread'
import { MemberEvent } from '../MemberEvent'
import { ORDER_LIMIT } from './OrderCarrier'
import { decodeResults, encodeCarried, type CarriedBody, type CarriedOrder } from './CarriedOrder'
import { CarrierChoice, type Carrier } from './CarrierChoice'

/**
 * Workers from which orders are carried. Below, the leader has processor time to spare (0.2 of a core at 33 workers),
 * and a hop would only cost time.
 */
const LEAST_WORKERS = 100
/**
 * Milliseconds without a word after which an instance counts as silent: replicas answer every 50. To be wrong costs a second
 * copy of the orders that it has; to wait costs a start for each of them, of which urgent ones have 0.5 s in hand.
 */
const SILENCE = 160
/** Milliseconds for which an instance that did not carry an order is given none. */
const REST = 1000
/**
 * Milliseconds for which orders to one instance gather after some went there: a message costs both ends as much as many orders in it. The first
 * one goes at once, and none is later by more than a commit.
 */
const GATHER = 8
/** Milliseconds between two readings of the clock beyond which the leader itself was late, and not the others. */
const LATE_TICK = 100

/** What the orders of a leadership need of its instance. @public */
export interface CarriedOrdersParts {
	/** Reaches workers from here. */
	readonly direct: WorkerOrders
	/** Term of the leadership. */
	readonly term: number
	/** This life of the instance, unlike any other. */
	readonly life: string
	readonly clock: Clock
	readonly log: Log
	/** Instances of the core that are linked now, without this one. */
	readonly linked: () => readonly Carrier[]
	/** How much each of them is given; all alike if absent. */
	readonly spread?: CarrierSpread
	/** @returns when an instance last said something, on this one's clock. */
	readonly heardAt: (id: string) => number
	/** How many workers there are. */
	readonly workers: () => number
	/** Sends orders to an instance. @returns false when they were dropped for certain. */
	readonly send: (to: string, batch: OrderBatch) => boolean
}

interface Pending {
	readonly carrier: string
	readonly giveUpAt: number
	readonly done: (result: Result) => void
}

type Result = OrderResult | PollResult

/**
 * Orders that other instances carry.
 *
 * @public
 */
export class CarriedOrders extends WorkerOrders {
	private readonly choice = new CarrierChoice()
	private readonly pending = new Map<number, Pending>()
	private readonly outgoing = new Map<string, CarriedOrder[]>()
	/** When orders last went to each instance. */
	private readonly sentAt = new Map<string, number>()
	/** Set while orders gather. */
	private timer: Timer | undefined
	/** Until when instances that did not carry an order are given none. */
	private readonly resting = new Map<string, number>()
	private lastId = 0
	private tickedAt: number
	/** Once there were enough workers orders stay carried, so that connections are not given up for a few of them. */
	private carries = false

	constructor(private readonly parts: CarriedOrdersParts) {
		super()
		this.tickedAt = parts.clock.now()
		this.refresh(this.tickedAt)
	}

	override get maxProbesPerTick(): number {
		return super.maxProbesPerTick * (1 + this.choice.size)
	}

	override start(
		worker: OrderTarget,
		order: StartOrder,
		done: (result: OrderResult) => void
	): void {
		const carried = this.give(worker, { kind: 'start', order }, ORDER_LIMIT, done as Done)
		if (!carried) this.parts.direct.start(worker, order, done)
	}

	override stop(worker: OrderTarget, order: StopOrder, done: (result: OrderResult) => void): void {
		const carried = this.give(worker, { kind: 'stop', order }, ORDER_LIMIT, done as Done)
		if (!carried) this.parts.direct.stop(worker, order, done)
	}

	override pace(worker: OrderTarget, order: PaceOrder, done: (result: OrderResult) => void): void {
		const carried = this.give(worker, { kind: 'pace', order }, ORDER_LIMIT, done as Done)
		if (!carried) this.parts.direct.pace(worker, order, done)
	}

	override poll(worker: OrderTarget, order: PollOrder, done: (result: PollResult) => void): void {
		const limit = ORDER_LIMIT + order.wait
		const carried = this.give(worker, { kind: 'poll', order }, limit, done as Done)
		if (!carried) this.parts.direct.poll(worker, order, done)
	}

	/** Takes results from an instance. */
	taken({ term, body }: OrderResults): void {
		if (term !== this.parts.term) return
		for (const { id, result } of decodeResults(body)) this.settle(id, result)
	}

	/** Sends the orders that need gather no longer; to be called at the end of every turn in which some may have been given. */
	flush(): void {
		const now = this.parts.clock.now()
		for (const [carrier, orders] of [...this.outgoing]) {
			const rest = (this.sentAt.get(carrier) ?? Number.NEGATIVE_INFINITY) + GATHER - now
			if (rest > 0) this.flushAfter(rest)
			else this.sendTo(carrier, orders, now)
		}
	}

	/** Finds instances that have fallen silent, and those that can carry again. */
	tick(now: number): void {
		const late = now - this.tickedAt > LATE_TICK
		this.tickedAt = now
		if (!late) this.failSilent(now)
		this.failOverdue(now)
		this.refresh(now)
	}

	/** A link is lost: what was sent over it brings no result any more. */
	lost(carrier: string): void {
		this.fail(carrier, 'the link is lost')
	}

	/** The leadership is over. */
	end(): void {
		this.timer?.cancel()
		this.pending.clear()
		this.outgoing.clear()
	}

	/** @returns whether another instance carries the order. */
	private give(worker: OrderTarget, body: CarriedBody, limit: number, done: Done): boolean {
		const carrier = this.carries ? this.choice.of(worker) : undefined
		if (carrier === undefined) return false
		const id = ++this.lastId
		const giveUpAt = this.parts.clock.now() + limit
		this.pending.set(id, { carrier, giveUpAt, done })
		const { id: name, address, dataCentre } = worker
		this.queue(carrier, { id, worker: { id: name, address, dataCentre }, body })
		return true
	}

	private queue(carrier: string, order: CarriedOrder): void {
		const waiting = this.outgoing.get(carrier)
		if (waiting) waiting.push(order)
		else this.outgoing.set(carrier, [order])
	}

	private flushAfter(rest: number): void {
		this.timer ??= this.parts.clock.after(rest, () => {
			this.timer = undefined
			this.flush()
		})
	}

	private sendTo(carrier: string, orders: readonly CarriedOrder[], now: number): void {
		if (!this.outgoing.delete(carrier)) return
		this.sentAt.set(carrier, now)
		const { term, life } = this.parts
		const batch = { term, body: encodeCarried(orders), sent: { life, at: now } }
		if (!this.parts.send(carrier, batch)) this.fail(carrier, 'there is no link')
	}

	private settle(id: number, result: Result): void {
		const pending = this.pending.get(id)
		if (!pending) return
		this.pending.delete(id)
		pending.done(result)
	}

	private failSilent(now: number): void {
		const silent = new Set<string>()
		for (const { carrier } of this.pending.values()) {
			if (this.isSilent(carrier, now)) silent.add(carrier)
		}
		for (const carrier of silent) this.fail(carrier, 'it is silent')
	}

	private failOverdue(now: number): void {
		const overdue = new Set<string>()
		for (const { carrier, giveUpAt } of this.pending.values()) {
			if (now > giveUpAt) overdue.add(carrier)
		}
		for (const carrier of overdue) this.fail(carrier, 'an order took too long')
	}

	private isSilent(carrier: string, now: number): boolean {
		return now - this.parts.heardAt(carrier) > SILENCE
	}

	/** Nothing is known of what became of an instance's orders. */
	private fail(carrier: string, reason: string): void {
		const { clock, log } = this.parts
		const lost = [...this.pending].filter(([, pending]) => pending.carrier === carrier)
		this.choice.drop(carrier)
		this.outgoing.delete(carrier)
		if (lost.length === 0) return
		this.resting.set(carrier, clock.now() + REST)
		log.warn(MemberEvent.CarrierLost, { peer: carrier, reason, orders: lost.length })
		for (const [id] of lost) this.settle(id, { kind: 'not-carried' })
	}

	private refresh(now: number): void {
		const { linked, workers } = this.parts
		this.carries ||= workers() >= LEAST_WORKERS
		if (!this.carries) return
		const usable = linked().filter(
			({ id }) => !this.isSilent(id, now) && (this.resting.get(id) ?? 0) <= now
		)
		const { spread } = this.parts
		this.choice.set(spread ? spread.of(usable, now) : usable.map(alike))
	}
}

function alike(carrier: Carrier): WeightedCarrier {
	return { ...carrier, weight: 1, kept: 1 }
}

type Done = (result: Result) => void
