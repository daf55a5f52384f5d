/**
 * Carries orders for the leader of the cell. An instance that does so keeps the connections to the workers and decides
 * nothing. What an order brings (term, attempt, end of the lease) tells its worker whether it still holds; but a worker that has started again under
 * its id meanwhile knows nothing of what it ran, and would run it again. So orders that were held up, in an instance that stood still or on a
 * link that was cut, are dropped: their leader has given them up by then.
 */
import type { OrderResult, PollResult, WorkerOrders } from '@rillrudder/jobs'
import type { OrderBatch, OrderResults, SendTime } from '@rillrudder/protocol'
import type { Clock } from '@rillrudder/utils'
import { MessageDelays } from './MessageDelays'
import { decodeOrders, encodeCarried, type CarriedOrder, type CarriedResult } from './CarriedOrder'

/** Milliseconds for which results gather, since a message costs thirty times as much as a result in it. */
const BATCH_DELAY_MS = 8

/**
 * Milliseconds that an order may take besides its own wait, and be held up on its way: a call to a worker has 250. Then its leader gives it up.
 *
 * @internal
 */
export const ORDER_TIMEOUT_MS = 500

/** Results on their way to one leader. */
interface ResultBatch {
	readonly term: number
	readonly results: CarriedResult[]
}

/**
 * Carries orders for leaders.
 *
 * @public
 */
export class OrderCarrier {
	private readonly batches = new Map<string, ResultBatch>()
	private readonly delays = new MessageDelays()

	/**
	 * @param orders - reaches the workers from here.
	 * @param clock - for the time that results gather.
	 * @param send - sends results to a leader; it misses those that can't be sent.
	 * @param onDropped - told of orders that were held up for so many milliseconds and are not carried.
	 */
	constructor(
		private readonly orders: WorkerOrders,
		private readonly clock: Clock,
		private readonly send: (to: string, results: OrderResults) => void,
		private readonly onDropped: (leader: string, orders: number, heldUp: number) => void = () =>
			undefined
	) {}

	/** Another instance has said something, which tells how its clock stands to this one's. */
	onMessage(from: string, sent: SendTime | undefined): void {
		this.delays.observe(from, sent, this.clock.now())
	}

	/** Carries a batch of orders of a leader, unless it was held up. */
	onOrders(leader: string, { term, body, sent }: OrderBatch): void {
		const heldUp = this.delays.observe(leader, sent, this.clock.now())
		const orders = decodeOrders(body)
		if (heldUp > ORDER_TIMEOUT_MS) return this.onDropped(leader, orders.length, heldUp)
		for (const order of orders) {
			this.carry(order, (result) => this.addResult(leader, term, { id: order.id, result }))
		}
	}

	private carry({ worker, body }: CarriedOrder, done: (result: Result) => void): void {
		switch (body.kind) {
			case 'start':
				return this.orders.start(worker, body.order, done)
			case 'stop':
				return this.orders.stop(worker, body.order, done)
			case 'pace':
				return this.orders.pace(worker, body.order, done)
			case 'poll':
				return this.orders.poll(worker, body.order, done)
		}
	}

	private addResult(leader: string, term: number, result: CarriedResult): void {
		const batch = this.batches.get(leader)
		if (batch?.term === term) {
			batch.results.push(result)
			return
		}
		// Results of an earlier term interest nobody any more.
		const newBatch = { term, results: [result] }
		this.batches.set(leader, newBatch)
		this.clock.after(BATCH_DELAY_MS, () => this.flush(leader, newBatch))
	}

	private flush(leader: string, batch: ResultBatch): void {
		if (this.batches.get(leader) === batch) this.batches.delete(leader)
		this.send(leader, { term: batch.term, body: encodeCarried(batch.results) })
	}
}

type Result = OrderResult | PollResult
