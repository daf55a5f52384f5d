/**
 * The simulated network between a controller and the workers: orders are delayed, lost, or carried
 * out late.
 */
import {
	workerNameOf,
	WorkerOrders,
	type PollOrder,
	type PollResult,
	type OrderResult,
	type PaceOrder,
	type StartOrder,
	type StopOrder,
	type OrderTarget,
} from '@rillrudder/jobs'
import type { Clock, Random } from '@rillrudder/utils'
import type { FleetWorker } from './FleetWorker'
import type { LeaderLoop } from './LeaderLoop'

/** Time after which a call without an answer counts as unanswered. */
const ANSWER_TIMEOUT_MS = 250
/** Minimum and maximum one-way delay. */
const NETWORK_DELAY_MS = [1, 9] as const
/** Minimum and maximum delay of a slow answer; it may arrive after its call has timed out. */
const SLOW_ANSWER_MS = [60, 290] as const
/** Minimum and maximum delay after which a late order is carried out. */
const LATE_ORDER_MS = [2000, 12_000] as const

type Answer<T> = (result: T | { readonly kind: 'unknown'; readonly message: string }) => void

/** Dependencies of {@link FleetOrders}. @internal */
export interface FleetOrdersParts {
	readonly clock: Clock
	readonly random: Random
	/** @returns the machine with an address. */
	readonly machineAt: (address: string) => FleetWorker
	/** @returns whether the sender cannot reach any worker. */
	readonly isCutOff: () => boolean
	/** Share of orders that are carried out late and get no answer. */
	readonly lateShare: () => number
	/** Share of orders that are carried out but whose answer is lost. */
	readonly lostShare: () => number
	/**
	 * Share of slow answers; if it is above 0, answers also arrive after the worker that sent them
	 * has ended.
	 */
	readonly slowShare: number
	/** The event loop in which the sender handles answers and timeouts. */
	readonly loop?: LeaderLoop
}

/**
 * Sends orders to the workers of a run.
 *
 * @internal
 */
export class FleetOrders extends WorkerOrders {
	constructor(private readonly parts: FleetOrdersParts) {
		super()
	}

	override start(worker: OrderTarget, order: StartOrder, done: Answer<OrderResult>): void {
		this.send(worker, done, (machine, late) => machine.start(order, late))
	}

	override stop(worker: OrderTarget, order: StopOrder, done: Answer<OrderResult>): void {
		this.send(worker, done, (machine) => machine.stop(order))
	}

	override pace(worker: OrderTarget, _order: PaceOrder, done: Answer<OrderResult>): void {
		this.send(worker, done, () => ({ kind: 'done' }))
	}

	override poll(worker: OrderTarget, order: PollOrder, done: Answer<PollResult>): void {
		const answer = this.withTimeout(done, ANSWER_TIMEOUT_MS + order.wait)
		this.afterDelay(() => {
			const machine = this.reachableMachine(worker)
			if (!machine) return
			if (!isAddressedTo(machine, worker))
				return this.sendAnswer(machine, answer, OTHER_INCARNATION)
			machine.poll(order, (result) => this.sendAnswer(machine, answer, result))
		})
	}

	private send(
		worker: OrderTarget,
		done: Answer<OrderResult>,
		act: (machine: FleetWorker, late: boolean) => OrderResult
	): void {
		const { clock, random, lateShare, lostShare } = this.parts
		const answer = this.withTimeout(done, ANSWER_TIMEOUT_MS)
		const late = random.chance(lateShare())
		const lost = late || random.chance(lostShare())
		const { id: incarnation } = this.parts.machineAt(worker.address).worker
		const reached = (): void => {
			const machine = this.reachableMachine(worker)
			if (!machine) return
			// An order that a worker has accepted but not yet carried out is lost when its
			// incarnation ends.
			if (late && machine.worker.id !== incarnation) return
			const result = isAddressedTo(machine, worker) ? act(machine, late) : OTHER_INCARNATION
			if (!lost) this.sendAnswer(machine, answer, result)
		}
		if (late) clock.after(random.integer(...LATE_ORDER_MS), reached)
		else this.afterDelay(reached)
	}

	private reachableMachine({ address }: OrderTarget): FleetWorker | undefined {
		const { machineAt, isCutOff } = this.parts
		const machine = machineAt(address)
		return machine.isUp && !machine.isCutOff && !isCutOff() ? machine : undefined
	}

	private sendAnswer<T>(machine: FleetWorker, answer: (result: T) => void, result: T): void {
		const { clock, random, slowShare, loop } = this.parts
		const isSlow = slowShare > 0 && random.chance(slowShare)
		const [least, most] = isSlow ? SLOW_ANSWER_MS : NETWORK_DELAY_MS
		clock.after(random.integer(least, most), () => {
			const isSent = slowShare > 0 || machine.isUp
			if (!isSent || machine.isCutOff || this.parts.isCutOff()) return
			if (loop) loop.onMessage(() => answer(result))
			else answer(result)
		})
	}

	private afterDelay(call: () => void): void {
		const { clock, random } = this.parts
		clock.after(random.integer(...NETWORK_DELAY_MS), call)
	}

	/**
	 * @returns a callback for the first answer; without an answer within the limit the result is
	 * `unknown`.
	 */
	private withTimeout<T>(done: Answer<T>, limit: number): (result: T) => void {
		let isSettled = false
		const settle = (result: Parameters<Answer<T>>[0]): void => {
			if (isSettled) return
			isSettled = true
			done(result)
		}
		const { clock, loop } = this.parts
		const onTimeout = (): void => settle({ kind: 'unknown', message: 'no answer' })
		clock.after(limit, () => (loop ? loop.onTimer(onTimeout) : onTimeout()))
		return settle
	}
}

/**
 * Workers compare only their names, and so accept orders that were meant for an earlier
 * incarnation.
 */
function isAddressedTo({ name }: FleetWorker, { id }: OrderTarget): boolean {
	return workerNameOf(id) === name
}

const OTHER_INCARNATION = { kind: 'other-incarnation' } as const
