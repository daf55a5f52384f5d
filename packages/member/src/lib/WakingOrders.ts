/**
 * Sends the orders of one leadership to workers and wakes its controller after each answer, so that
 * it decides what follows. After the end of the leadership answers are dropped, since the
 * controller would take them as current.
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
 * Orders whose answers wake the controller.
 *
 * @internal
 */
export class WakingOrders extends WorkerOrders {
	private hasEnded = false

	/**
	 * @param orders - sends the orders.
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

	/** Ends the leadership: answers are dropped from now on. */
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
