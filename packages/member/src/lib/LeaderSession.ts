/**
 * One leadership: runs the controller and proposes its commands, from the first lease to the end of
 * the term.
 */
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
 * Minimum milliseconds between two turns. Each turn has a fixed cost, however few events there were
 * since the last one: it looks for steps to place and sends what was decided. A decision is delayed
 * by no more than this.
 */
const MIN_TURN_INTERVAL_MS = 4

/** Dependencies of a leader session. @internal */
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
	/** @returns milliseconds for which events have lately waited for the event loop. */
	readonly loopDelay: () => number
}

/**
 * The controller of one leadership with its proposals and orders.
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
	/** When the last turn started. */
	private lastTurnAt = Number.NEGATIVE_INFINITY

	constructor(private readonly parts: LeaderSessionParts) {
		const { group, state, clock, random, timing, policy, advisers, log, meter, loopDelay, term } =
			parts
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
			loopDelay,
			onDeposed: () => group.transferLeadership(),
		})
		meter.count(Measure.Leaderships)
		state.observer = (change) => this.controller.onChange(change)
	}

	/** Answers a call; one that is still pending when the leadership ends gets an `unknown` reply. */
	call(call: CellCall, done: (reply: CellReply) => void): void {
		const reply = (value: CellReply): void => {
			if (this.pendingReplies.delete(reply)) done(value)
		}
		this.pendingReplies.add(reply)
		this.controller.call(call, reply)
		this.scheduleTurn()
	}

	/** Handles the application of an entry that this leadership proposed. */
	onEntryApplied(): void {
		this.commands.onEntryApplied()
		this.scheduleTurn()
	}

	/** Handles the results of orders that another instance carried. */
	onOrderResults(results: OrderResults): void {
		this.parts.orders.onResults(results)
	}

	/** Handles the loss of the link to a peer. */
	onLinkLost(peer: string): void {
		this.parts.orders.onLinkLost(peer)
	}

	/** Runs the periodic work. */
	tick(): void {
		this.parts.orders.tick(this.parts.clock.now())
		this.controller.tick()
		this.flush()
	}

	/** Updates the gauges of the controller. */
	updateGauges(): void {
		this.controller.measure()
	}

	/**
	 * Schedules a turn, after an event such as an answer of a worker: the turn places steps and
	 * proposes.
	 */
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

	/** Sends the proposals and orders of this turn. */
	private flush(): void {
		this.commands.flush()
		this.parts.orders.flush()
	}

	/** Ends the leadership: nothing more is decided, and pending calls get an `unknown` reply. */
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
