/**
 * An instance of a run that carries orders for leaders: it may stand still and let go late what it took, be killed with
 * all that it held, lose its link to the leader, or be cut off from the workers.
 */
import type { WorkerOrders } from '@rillrudder/jobs'
import { OrderCarrier, type Carrier } from '@rillrudder/member'
import type { OrderBatch, OrderResults } from '@rillrudder/protocol'
import type { Clock, Random } from '@rillrudder/utils'

/** Milliseconds that a message between two instances takes, the least and the most. */
const WAY = [1, 5] as const

const LEADER = 'leader'
/** All leaders of a run count as one process, whose clock is known from its first word on. */
export const LEADER_LIFE = 'life'

/** What a carrying instance needs of its run. @internal */
export interface FleetCarrierParts extends Carrier {
	readonly clock: Clock
	readonly random: Random
	/** Reaches workers from this instance. */
	readonly orders: WorkerOrders
	/** Brings results to the leader, if there is one. */
	readonly results: (results: OrderResults) => void
}

/**
 * An instance that carries orders.
 *
 * @internal
 */
export class FleetCarrier implements Carrier {
	readonly id: string
	readonly dataCentre: string
	/** Whether it is linked to the leader. */
	linked = true
	/** Whether what passes over its link is lost although the link is up. */
	silent = false
	/** Whether no worker hears it. */
	cut = false
	/** When the leader last heard of it. */
	heardAt = 0
	private frozen = false
	private held: (() => void)[] = []
	private life = 0
	private carrier: OrderCarrier

	constructor(private readonly parts: FleetCarrierParts) {
		this.id = parts.id
		this.dataCentre = parts.dataCentre
		this.carrier = this.rise()
	}

	/** Takes orders. @returns false when they were dropped for certain. */
	take(batch: OrderBatch): boolean {
		if (!this.linked) return false
		if (!this.silent) this.after(() => this.act(() => this.carrier.onOrders(LEADER, batch)))
		return true
	}

	/** Lets time pass: the leader hears of it, and it of the leader. */
	tick(): void {
		if (!this.linked || this.silent || this.frozen) return
		const now = this.parts.clock.now()
		this.heardAt = now
		this.carrier.onMessage(LEADER, { life: LEADER_LIFE, at: now })
	}

	/** It stands still for a while, and then goes on with what it held. */
	freeze(span: number): void {
		this.frozen = true
		this.parts.clock.after(span, () => this.thaw())
	}

	/** It goes on. */
	thaw(): void {
		this.frozen = false
		const { held } = this
		this.held = []
		for (const act of held) act()
	}

	/** It is killed, and another process takes its place at once. */
	kill(): void {
		this.held = []
		this.carrier = this.rise()
	}

	private rise(): OrderCarrier {
		const life = ++this.life
		const { orders, clock } = this.parts
		return new OrderCarrier(orders, clock, (_to, results) => {
			if (life !== this.life) return
			this.act(() => this.tell(results))
		})
	}

	private tell(results: OrderResults): void {
		this.after(() => {
			if (this.linked && !this.silent) this.parts.results(results)
		})
	}

	private act(call: () => void): void {
		if (this.frozen) this.held.push(call)
		else call()
	}

	private after(call: () => void): void {
		const { clock, random } = this.parts
		clock.after(random.integer(...WAY), call)
	}
}
