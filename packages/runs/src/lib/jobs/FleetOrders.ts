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
const ANSWER_LIMIT = 250
/** Milliseconds each way, the least and the most. */
const WAY = [1, 9] as const
/** Milliseconds that a slow answer takes, the least and the most; it may come after its call was given up. */
const SLOW = [60, 290] as const
/** Seconds after which a late order is carried out, the least and the most, in milliseconds. */
const LATE = [2000, 12_000] as const

type Answer<T> = (result: T | { readonly kind: 'unknown'; readonly message: string }) => void

/** What the way to the workers needs of its run. @internal */
export interface FleetOrdersParts {
	readonly clock: Clock
	readonly random: Random
	/** @returns the machine at an address. */
	readonly at: (address: string) => FleetWorker
	/** @returns whether no worker can be reached from here. */
	readonly cut: () => boolean
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
		this.carry(worker, done, (machine, late) => machine.start(order, late))
	}

	override stop(worker: OrderTarget, order: StopOrder, done: Answer<OrderResult>): void {
		this.carry(worker, done, (machine) => machine.stop(order))
	}

	override pace(worker: OrderTarget, _order: PaceOrder, done: Answer<OrderResult>): void {
		this.carry(worker, done, () => ({ kind: 'done' }))
	}

	override poll(worker: OrderTarget, order: PollOrder, done: Answer<PollResult>): void {
		const answer = this.limited(done, ANSWER_LIMIT + order.wait)
		this.after(() => {
			const machine = this.reach(worker)
			if (!machine) return
			if (!isMeant(machine, worker)) return this.answer(machine, answer, OTHER)
			machine.poll(order, (result) => this.answer(machine, answer, result))
		})
	}

	private carry(
		worker: OrderTarget,
		done: Answer<OrderResult>,
		act: (machine: FleetWorker, late: boolean) => OrderResult
	): void {
		const { clock, random, lateShare, lostShare } = this.parts
		const answer = this.limited(done, ANSWER_LIMIT)
		const late = random.chance(lateShare())
		const lost = late || random.chance(lostShare())
		const { id: life } = this.parts.at(worker.address).worker
		const reached = (): void => {
			const machine = this.reach(worker)
			if (!machine) return
			// What a worker has taken and not yet carried out is lost with its life.
			if (late && machine.worker.id !== life) return
			const result = isMeant(machine, worker) ? act(machine, late) : OTHER
			if (!lost) this.answer(machine, answer, result)
		}
		if (late) clock.after(random.integer(...LATE), reached)
		else this.after(reached)
	}

	private reach({ address }: OrderTarget): FleetWorker | undefined {
		const { at, cut } = this.parts
		const machine = at(address)
		return machine.isUp && !machine.isCutOff && !cut() ? machine : undefined
	}

	private answer<T>(machine: FleetWorker, answer: (result: T) => void, result: T): void {
		const { clock, random, slowShare, loop } = this.parts
		const isSlow = slowShare > 0 && random.chance(slowShare)
		const [least, most] = isSlow ? SLOW : WAY
		clock.after(random.integer(least, most), () => {
			const isSent = slowShare > 0 || machine.isUp
			if (!isSent || machine.isCutOff || this.parts.cut()) return
			if (loop) loop.onMessage(() => answer(result))
			else answer(result)
		})
	}

	private after(call: () => void): void {
		const { clock, random } = this.parts
		clock.after(random.integer(...WAY), call)
	}

	/** @returns what takes the first answer; none by the limit counts as unknown. */
	private limited<T>(done: Answer<T>, limit: number): (result: T) => void {
		let settled = false
		const settle = (result: Parameters<Answer<T>>[0]): void => {
			if (settled) return
			settled = true
			done(result)
		}
		const { clock, loop } = this.parts
		const giveUp = (): void => settle({ kind: 'unknown', message: 'no answer' })
		clock.after(limit, () => (loop ? loop.onTimer(giveUp) : giveUp()))
		return settle
	}
}

/** A worker knows itself by its name only, and takes what was meant for an earlier life. */
function isMeant({ name }: FleetWorker, { id }: OrderTarget): boolean {
	return workerNameOf(id) === name
}

const OTHER = { kind: 'other-incarnation' } as const
