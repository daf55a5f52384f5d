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
import { CommandBatcher } from './CommandBatcher'
import type { CarriedOrders } from './carriers/CarriedOrders'
import { WakingOrders } from './WakingOrders'

/**
 * Milliseconds between two turns at least. Each looks at what can begin and sends what it has decided, whatever few events there were since the last
 * one; a decision is later by no more than that.
 */
const MIN_TURN_INTERVAL_MS = 4

/** What a leadership is made with. @internal */
export interface LeaderSessionParts {
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
export class LeaderSession {
	readonly term: number
	private readonly controller: JobController
	private readonly commands: CommandBatcher
	private readonly orders: WakingOrders
	private readonly pendingReplies = new Set<(reply: CellReply) => void>()
	private isTurnScheduled = false
	private hasEnded = false
	/** When the last turn began. */
	private lastTurnAt = Number.NEGATIVE_INFINITY

	constructor(private readonly parts: LeaderSessionParts) {
		const { group, state, clock, random, timing, policy, advisers, log, meter, term } = parts
		this.term = term
		this.commands = new CommandBatcher(group, clock, meter)
		this.orders = new WakingOrders(parts.orders, () => this.scheduleTurn())
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
			proposals: this.commands,
			log,
			meter,
			deposed: () => group.handOver(),
		})
		meter.count(Measure.Leaderships)
		state.observer = (change) => this.controller.changed(change)
	}

	/** Answers a call; callers that still wait when the leadership ends are told so. */
	call(call: CellCall, done: (reply: CellReply) => void): void {
		const reply = (value: CellReply): void => {
			if (this.pendingReplies.delete(reply)) done(value)
		}
		this.pendingReplies.add(reply)
		this.controller.call(call, reply)
		this.scheduleTurn()
	}

	/** An entry of this leadership has been applied. */
	onEntryApplied(): void {
		this.commands.onEntryApplied()
		this.scheduleTurn()
	}

	/** Another instance tells what came of orders that it carried. */
	onOrderResults(results: OrderResults): void {
		this.parts.orders.onResults(results)
	}

	/** A link is lost. */
	onLinkLost(peer: string): void {
		this.parts.orders.onLinkLost(peer)
	}

	/** Lets time pass. */
	tick(): void {
		this.parts.orders.tick(this.parts.clock.now())
		this.controller.tick()
		this.flush()
	}

	/** Sets the gauges of the controller. */
	updateGauges(): void {
		this.controller.measure()
	}

	/** Something outside has happened, such as an answer of a worker: places and proposes. */
	scheduleTurn(): void {
		if (this.isTurnScheduled || this.hasEnded) return
		this.isTurnScheduled = true
		const { clock } = this.parts
		const delay = this.lastTurnAt + MIN_TURN_INTERVAL_MS - clock.now()
		if (delay > 0) clock.after(delay, () => this.runTurn())
		else setImmediate(() => this.runTurn())
	}

	private runTurn(): void {
		this.isTurnScheduled = false
		if (this.hasEnded || !this.parts.group.mayAct) return
		this.lastTurnAt = this.parts.clock.now()
		this.controller.place()
		this.flush()
	}

	/** Sends what this turn has proposed and ordered. */
	private flush(): void {
		this.commands.flush()
		this.parts.orders.flush()
	}

	/** The leadership is over: nothing more is decided. */
	end(): void {
		this.hasEnded = true
		this.commands.end()
		this.orders.end()
		this.parts.orders.end()
		this.parts.log.info(LeaderEvent.LeadershipLost, { term: this.term })
		this.parts.state.observer = undefined
		const reply: CellReply = { kind: 'unknown', reason: 'the leader has changed' }
		for (const pendingReply of [...this.pendingReplies]) pendingReply(reply)
	}
}
