/** Carries orders to workers, and wakes the desk after each answer so that what follows is decided. */
import {
	WorkerOrders,
	type LookOrder,
	type LookResult,
	type OrderResult,
	type PaceOrder,
	type StartOrder,
	type StopOrder,
	type Worker,
} from '@rillrudder/jobs'

/**
 * Orders that wake the desk.
 *
 * @internal
 */
export class WakingOrders extends WorkerOrders {
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

	override start(worker: Worker, order: StartOrder, done: (result: OrderResult) => void): void {
		this.orders.start(worker, order, this.waking(done))
	}

	override stop(worker: Worker, order: StopOrder, done: (result: OrderResult) => void): void {
		this.orders.stop(worker, order, this.waking(done))
	}

	override pace(worker: Worker, order: PaceOrder, done: (result: OrderResult) => void): void {
		this.orders.pace(worker, order, this.waking(done))
	}

	override look(worker: Worker, order: LookOrder, done: (result: LookResult) => void): void {
		this.orders.look(worker, order, this.waking(done))
	}

	private waking<Result>(done: (result: Result) => void): (result: Result) => void {
		return (result) => {
			done(result)
			this.wake()
		}
	}
}
