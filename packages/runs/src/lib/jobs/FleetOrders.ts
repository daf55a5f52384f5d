/** The way between a controller and the workers of a run: calls take time, get lost, or are carried out late. */
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

/** Milliseconds after which a call without an answer is given up. */
const ANSWER_TIMEOUT_MS = 250
/** Milliseconds each way, the least and the most. */
const NETWORK_DELAY_MS = [1, 9] as const
/** Milliseconds that a slow answer takes, the least and the most; it may come after its call was given up. */
const SLOW_ANSWER_MS = [60, 290] as const
/** Seconds after which a late order is carried out, the least and the most, in milliseconds. */
const LATE_ORDER_MS = [2000, 12_000] as const

type Answer<T> = (result: T | { readonly kind: 'unknown'; readonly message: string }) => void

/** What the way to the workers needs of its run. @internal */
export interface FleetOrdersParts {
	readonly clock: Clock
	readonly random: Random
	/** @returns the machine at an address. */
	readonly machineAt: (address: string) => FleetWorker
	/** @returns whether no worker can be reached from here. */
	readonly isCutOff: () => boolean
	/** Share of orders that get no answer and are carried out late. */
	readonly lateShare: () => number
	/** Share of orders that are carried out and whose answer is lost. */
	readonly lostShare: () => number
	/** Share of answers that take long; where there are any, an answer comes although the worker that sent it has ended. */
	readonly slowShare: number
	/** Brings answers and limits to the instance that gives the orders. */
	readonly loop?: LeaderLoop
}

/**
 * Orders to the workers of a run.
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
			// What a worker has taken and not yet carried out is lost with its life.
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

	/** @returns what takes the first answer; none by the limit counts as unknown. */
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

/** A worker knows itself by its name only, and takes what was meant for an earlier life. */
function isAddressedTo({ name }: FleetWorker, { id }: OrderTarget): boolean {
	return workerNameOf(id) === name
}

const OTHER_INCARNATION = { kind: 'other-incarnation' } as const
