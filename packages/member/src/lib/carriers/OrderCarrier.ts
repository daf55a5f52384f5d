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
const GATHER = 8

/**
 * Milliseconds that an order may take besides its own wait, and be held up on its way: a call to a worker has 250. Then its leader gives it up.
 *
 * @internal
 */
export const ORDER_LIMIT = 500

/** Results on their way to one leader. */
interface Gathered {
	readonly term: number
	readonly results: CarriedResult[]
}

/**
 * Carries orders for leaders.
 *
 * @public
 */
export class OrderCarrier {
	private readonly gathered = new Map<string, Gathered>()
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
		if (heldUp > ORDER_LIMIT) return this.onDropped(leader, orders.length, heldUp)
		for (const order of orders) {
			this.carry(order, (result) => this.gather(leader, term, { id: order.id, result }))
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

	private gather(leader: string, term: number, result: CarriedResult): void {
		const gathered = this.gathered.get(leader)
		if (gathered?.term === term) {
			gathered.results.push(result)
			return
		}
		// Results of an earlier term interest nobody any more.
		const begun = { term, results: [result] }
		this.gathered.set(leader, begun)
		this.clock.after(GATHER, () => this.flush(leader, begun))
	}

	private flush(leader: string, gathered: Gathered): void {
		if (this.gathered.get(leader) === gathered) this.gathered.delete(leader)
		this.send(leader, { term: gathered.term, body: encodeCarried(gathered.results) })
	}
}

type Result = OrderResult | PollResult
