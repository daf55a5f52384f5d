/**
 * A simulated instance that carries orders for leaders. It may freeze and pass on its orders late,
 * be killed with all orders that it holds, lose its link to the leader, or be cut off from the
 * workers.
 */
import type { WorkerOrders } from '@rillrudder/jobs'
import { OrderCarrier, type Carrier } from '@rillrudder/member'
import type { OrderBatch, OrderResults } from '@rillrudder/protocol'
import type { Clock, Random } from '@rillrudder/utils'

/** Minimum and maximum delay of a message between two instances. */
const NETWORK_DELAY_MS = [1, 5] as const

const LEADER = 'leader'
/**
 * The incarnation of every leader: all leaders of a run share one clock, which carriers know from
 * the first heartbeat.
 */
export const LEADER_INCARNATION = 'life'

/** Dependencies of {@link FleetCarrier}. @internal */
export interface FleetCarrierParts extends Carrier {
	readonly clock: Clock
	readonly random: Random
	/** Sends orders to workers from this instance. */
	readonly orders: WorkerOrders
	/** Delivers results to the leader, if there is one. */
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
	/** Whether its link to the leader is up. */
	isLinked = true
	/** Whether all messages on its link are lost although the link is up. */
	isDroppingMessages = false
	/** Whether it cannot reach any worker. */
	isCutOff = false
	/** When the leader last received a heartbeat from it. */
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

	/** Accepts orders. @returns false if they were certainly dropped. */
	take(batch: OrderBatch): boolean {
		if (!this.isLinked) return false
		if (!this.isDroppingMessages)
			this.afterDelay(() => this.runOrHold(() => this.carrier.onOrders(LEADER, batch)))
		return true
	}

	/** Exchanges heartbeats with the leader. */
	tick(): void {
		if (!this.isLinked || this.isDroppingMessages || this.isFrozen) return
		const now = this.parts.clock.now()
		this.heardAt = now
		this.carrier.onMessage(LEADER, { life: LEADER_INCARNATION, at: now })
	}

	/**
	 * Freezes the instance for a number of milliseconds, after which it processes the messages that
	 * it held.
	 */
	freeze(span: number): void {
		this.isFrozen = true
		this.parts.clock.after(span, () => this.unfreeze())
	}

	/** Ends a freeze and processes the held messages. */
	unfreeze(): void {
		this.isFrozen = false
		const { held } = this
		this.held = []
		for (const act of held) act()
	}

	/** Kills the process; another one replaces it at once. */
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
