/** One leadership: the controller, and what it proposes. It begins with the lease and ends with the term. */
import type { Group } from '@rillrudder/group'
import {
	LeaderEvent,
	JobController,
	type Advisers,
	type CellCall,
	type CellReply,
	type CellState,
	type LeaderPolicy,
	type LeaderTiming,
} from '@rillrudder/jobs'
import type { OrderResults } from '@rillrudder/protocol'
import { Ledger, WorkerHealth } from '@rillrudder/scheduler'
import { Measure, type Log, type Meter } from '@rillrudder/telemetry'
import type { Clock, Random } from '@rillrudder/utils'
import { Batching } from './Batching'
import type { CarriedOrders } from './carriers/CarriedOrders'
import { WakingOrders } from './WakingOrders'

/**
 * Milliseconds between two turns at least. Each looks at what can begin and sends what it has decided, whatever few events there were since the last
 * one; a decision is later by no more than that.
 */
const TURN_GAP = 4

/** What a leadership is made with. @internal */
export interface LeadingParts {
	readonly group: Group
	readonly state: CellState
	readonly term: number
	readonly clock: Clock
	readonly random: Random
	readonly timing: LeaderTiming
	readonly policy: LeaderPolicy
	readonly orders: CarriedOrders
	readonly advisers: Advisers
	readonly log: Log
	readonly meter: Meter
}

/**
 * One leadership.
 *
 * @internal
 */
export class Leading {
	readonly term: number
	private readonly controller: JobController
	private readonly batching: Batching
	private readonly orders: WakingOrders
	private readonly waiting = new Set<(reply: CellReply) => void>()
	private flushing = false
	private over = false
	/** When the last turn began. */
	private turnAt = Number.NEGATIVE_INFINITY

	constructor(private readonly parts: LeadingParts) {
		const { group, state, clock, random, timing, policy, advisers, log, meter, term } = parts
		this.term = term
		this.batching = new Batching(group, clock, meter)
		this.orders = new WakingOrders(parts.orders, () => this.flushSoon())
		this.controller = new JobController({
			state,
			ledger: new Ledger(random),
			health: new WorkerHealth(),
			clock,
			random,
			timing,
			policy,
			term,
			orders: this.orders,
			advisers,
			proposals: this.batching,
			log,
			meter,
			onDeposed: () => group.transferLeadership(),
		})
		meter.count(Measure.Leaderships)
		state.observer = (change) => this.controller.onChange(change)
	}

	/** Answers a call; callers that still wait when the leadership ends are told so. */
	call(call: CellCall, done: (reply: CellReply) => void): void {
		const reply = (value: CellReply): void => {
			if (this.waiting.delete(reply)) done(value)
		}
		this.waiting.add(reply)
		this.controller.call(call, reply)
		this.flushSoon()
	}

	/** An entry of this leadership has been applied. */
	applied(): void {
		this.batching.applied()
		this.flushSoon()
	}

	/** Another instance tells what came of orders that it carried. */
	carried(results: OrderResults): void {
		this.parts.orders.taken(results)
	}

	/** A link is lost. */
	lost(peer: string): void {
		this.parts.orders.lost(peer)
	}

	/** Lets time pass. */
	tick(): void {
		this.parts.orders.tick(this.parts.clock.now())
		this.controller.tick()
		this.flush()
	}

	/** Sets the gauges of the controller. */
	measure(): void {
		this.controller.measure()
	}

	/** Something outside has happened, such as an answer of a worker: places and proposes. */
	flushSoon(): void {
		if (this.flushing || this.over) return
		this.flushing = true
		const { clock } = this.parts
		const rest = this.turnAt + TURN_GAP - clock.now()
		if (rest > 0) clock.after(rest, () => this.turn())
		else setImmediate(() => this.turn())
	}

	private turn(): void {
		this.flushing = false
		if (this.over || !this.parts.group.mayAct) return
		this.turnAt = this.parts.clock.now()
		this.controller.place()
		this.flush()
	}

	/** Sends what this turn has proposed and ordered. */
	private flush(): void {
		this.batching.flush()
		this.parts.orders.flush()
	}

	/** The leadership is over: nothing more is decided. */
	end(): void {
		this.over = true
		this.batching.end()
		this.orders.end()
		this.parts.orders.end()
		this.parts.log.info(LeaderEvent.LeadershipLost, { term: this.term })
		this.parts.state.observer = undefined
		const reply: CellReply = { kind: 'unknown', reason: 'the leader has changed' }
		for (const waiting of [...this.waiting]) waiting(reply)
	}
}
