/**
 * Carries the orders of one leadership to workers, and wakes its controller after each answer so that what follows is
 * decided. Once the leadership is over its controller hears of no more answers: it would take them for news of today.
 */
import {
	WorkerOrders,
	type PollOrder,
	type PollResult,
	type OrderResult,
	type PaceOrder,
	type StartOrder,
	type StopOrder,
	type OrderTarget,
} from '@rillrudder/jobs'

/**
 * Orders that wake the controller.
 *
 * @internal
 */
export class WakingOrders extends WorkerOrders {
	private hasEnded = false

	/**
	 * @param orders - what carries the orders.
	 * @param wake - called after each answer.
	 */
	constructor(
		private readonly orders: WorkerOrders,
		private readonly wake: () => void
	) {
		super()
	}

	override start(
		worker: OrderTarget,
		order: StartOrder,
		done: (result: OrderResult) => void
	): void {
		this.orders.start(worker, order, this.withWake(done))
	}

	override stop(worker: OrderTarget, order: StopOrder, done: (result: OrderResult) => void): void {
		this.orders.stop(worker, order, this.withWake(done))
	}

	override pace(worker: OrderTarget, order: PaceOrder, done: (result: OrderResult) => void): void {
		this.orders.pace(worker, order, this.withWake(done))
	}

	override poll(worker: OrderTarget, order: PollOrder, done: (result: PollResult) => void): void {
		this.orders.poll(worker, order, this.withWake(done))
	}

	/** The leadership is over. */
	end(): void {
		this.hasEnded = true
	}

	private withWake<Result>(done: (result: Result) => void): (result: Result) => void {
		return (result) => {
			if (this.hasEnded) return
			done(result)
			this.wake()
		}
	}
}
