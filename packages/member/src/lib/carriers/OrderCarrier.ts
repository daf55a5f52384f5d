/**
 * Carries orders to workers for the leader of the cell: keeps the connections to the workers and
 * decides nothing. From the term, attempt and lease end in an order, its worker can tell whether it
 * is still valid. But a worker that was restarted under the same id meanwhile does not know what it
 * ran before, and would run it again. So orders that were delayed, in a stalled instance or on a
 * cut link, are dropped: their leader has abandoned them by then.
 */
import type { OrderResult, PollResult, WorkerOrders } from '@rillrudder/jobs'
import type { OrderBatch, OrderResults, SendTime } from '@rillrudder/protocol'
import type { Clock } from '@rillrudder/utils'
import { MessageDelays } from './MessageDelays'
import { decodeOrders, encodeCarried, type CarriedOrder, type CarriedResult } from './CarriedOrder'

/**
 * Milliseconds for which results are batched: a message costs thirty times as much as a result in
 * it.
 */
const BATCH_DELAY_MS = 8

/**
 * Milliseconds that an order may take besides its own wait, and that it may be delayed in transit,
 * after which its leader abandons it. A call to a worker has a timeout of 250.
 *
 * @internal
 */
export const ORDER_TIMEOUT_MS = 500

/** Results that wait to be sent to one leader. */
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
	 * @param orders - sends orders to the workers from this instance.
	 * @param clock - for batching and message delays.
	 * @param send - sends results to a leader; those that can't be sent are lost.
	 * @param onDropped - called with the number of dropped orders and their delay in milliseconds.
	 */
	constructor(
		private readonly orders: WorkerOrders,
		private readonly clock: Clock,
		private readonly send: (to: string, results: OrderResults) => void,
		private readonly onDropped: (leader: string, orders: number, delay: number) => void = () =>
			undefined
	) {}

	/** Records a message of another instance, which shows the offset of its clock. */
	onMessage(from: string, sent: SendTime | undefined): void {
		this.delays.observe(from, sent, this.clock.now())
	}

	/** Carries a leader's batch of orders, unless it was delayed. */
	onOrders(leader: string, { term, body, sent }: OrderBatch): void {
		const delay = this.delays.observe(leader, sent, this.clock.now())
		const orders = decodeOrders(body)
		if (delay > ORDER_TIMEOUT_MS) return this.onDropped(leader, orders.length, delay)
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
		// Results of an earlier term are obsolete; a new batch replaces theirs.
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
