/**
 * Carries orders for the leader of the cell. An instance that does so keeps the connections to the workers and decides
 * nothing: what an order brings (term, attempt, end of the lease) tells the worker whether it still holds, so an
 * order that an instance lets go late, after it stood still, does what any late order does.
 */
import type { OrderResult, PollResult, WorkerOrders } from '@rillrudder/jobs'
import type { OrderBatch, OrderResults } from '@rillrudder/protocol'
import type { Clock } from '@rillrudder/utils'
import { decodeOrders, encodeCarried, type CarriedOrder, type CarriedResult } from './CarriedOrder'

/** Milliseconds for which results gather, since a message costs thirty times as much as a result in it. */
const GATHER = 8

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

	/**
	 * @param orders - reaches the workers from here.
	 * @param clock - for the time that results gather.
	 * @param send - sends results to a leader; it misses those that can't be sent.
	 */
	constructor(
		private readonly orders: WorkerOrders,
		private readonly clock: Clock,
		private readonly send: (to: string, results: OrderResults) => void
	) {}

	/** Carries a batch of orders of a leader. */
	take(leader: string, { term, body }: OrderBatch): void {
		for (const order of decodeOrders(body)) {
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
