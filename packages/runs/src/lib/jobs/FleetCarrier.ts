/**
 * An instance of a run that carries orders for leaders: it may stand still and let go late what it took, be killed with
 * all that it held, lose its link to the leader, or be cut off from the workers.
 */
import type { WorkerOrders } from '@rillrudder/jobs'
import { OrderCarrier, type Carrier } from '@rillrudder/member'
import type { OrderBatch, OrderResults } from '@rillrudder/protocol'
import type { Clock, Random } from '@rillrudder/utils'

/** Milliseconds that a message between two instances takes, the least and the most. */
const NETWORK_DELAY_MS = [1, 5] as const

const LEADER = 'leader'
/** All leaders of a run count as one process, whose clock is known from its first word on. */
export const LEADER_INCARNATION = 'life'

/** What a carrying instance needs of its run. @internal */
export interface FleetCarrierParts extends Carrier {
	readonly clock: Clock
	readonly random: Random
	/** Reaches workers from this instance. */
	readonly orders: WorkerOrders
	/** Brings results to the leader, if there is one. */
	readonly deliverResults: (results: OrderResults) => void
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
	isLinked = true
	/** Whether what passes over its link is lost although the link is up. */
	isDroppingMessages = false
	/** Whether no worker hears it. */
	isCutOff = false
	/** When the leader last heard of it. */
	heardAt = 0
	private isFrozen = false
	private held: (() => void)[] = []
	private incarnation = 0
	private carrier: OrderCarrier

	constructor(private readonly parts: FleetCarrierParts) {
		this.id = parts.id
		this.dataCentre = parts.dataCentre
		this.carrier = this.newCarrier()
	}

	/** Takes orders. @returns false when they were dropped for certain. */
	take(batch: OrderBatch): boolean {
		if (!this.isLinked) return false
		if (!this.isDroppingMessages)
			this.afterDelay(() => this.runOrHold(() => this.carrier.take(LEADER, batch)))
		return true
	}

	/** Lets time pass: the leader hears of it, and it of the leader. */
	tick(): void {
		if (!this.isLinked || this.isDroppingMessages || this.isFrozen) return
		const now = this.parts.clock.now()
		this.heardAt = now
		this.carrier.heard(LEADER, { life: LEADER_INCARNATION, at: now })
	}

	/** It stands still for a while, and then goes on with what it held. */
	freeze(span: number): void {
		this.isFrozen = true
		this.parts.clock.after(span, () => this.unfreeze())
	}

	/** It goes on. */
	unfreeze(): void {
		this.isFrozen = false
		const { held } = this
		this.held = []
		for (const act of held) act()
	}

	/** It is killed, and another process takes its place at once. */
	kill(): void {
		this.held = []
		this.carrier = this.newCarrier()
	}

	private newCarrier(): OrderCarrier {
		const incarnation = ++this.incarnation
		const { orders, clock } = this.parts
		return new OrderCarrier(orders, clock, (_to, results) => {
			if (incarnation !== this.incarnation) return
			this.runOrHold(() => this.sendResults(results))
		})
	}

	private sendResults(results: OrderResults): void {
		this.afterDelay(() => {
			if (this.isLinked && !this.isDroppingMessages) this.parts.deliverResults(results)
		})
	}

	private runOrHold(call: () => void): void {
		if (this.isFrozen) this.held.push(call)
		else call()
	}

	private afterDelay(call: () => void): void {
		const { clock, random } = this.parts
		clock.after(random.integer(...NETWORK_DELAY_MS), call)
	}
}
