/**
 * Which instance carries orders to a worker: one in the worker's own data centre, always the same while it can be
 * used, so that connections are kept and orders to a worker keep their way.
 */
import type { OrderTarget } from '@rillrudder/jobs'
import { choose } from '../load/rendezvous'
import type { WeightedCarrier } from '../load/CarrierWeights'

/** An instance that can carry orders. @public */
export interface Carrier {
	/** Its id, the address of its link. */
	readonly id: string
	readonly dataCentre: string
}

/**
 * Chooses carriers.
 *
 * @internal
 */
export class CarrierSelector {
	private readonly byDataCentre = new Map<string, WeightedCarrier[]>()
	private count = 0
	/** Data centres where weights have differed: they count for good, so that a carrier that goes moves no other's workers. */
	private readonly weighted = new Set<string>()

	/** How many instances can carry orders. */
	get size(): number {
		return this.count
	}

	/** These instances can carry orders from now on, and no others. */
	setCarriers(carriers: readonly WeightedCarrier[]): void {
		this.byDataCentre.clear()
		this.count = carriers.length
		for (const carrier of carriers) {
			const sameDataCentre = this.byDataCentre.get(carrier.dataCentre)
			if (!sameDataCentre) {
				this.byDataCentre.set(carrier.dataCentre, [carrier])
				continue
			}
			if (sameDataCentre[0].weight !== carrier.weight) this.weighted.add(carrier.dataCentre)
			sameDataCentre.push(carrier)
		}
	}

	/** An instance can carry no orders for now. */
	remove(id: string): void {
		for (const [dataCentre, carriers] of this.byDataCentre) {
			const others = carriers.filter((other) => other.id !== id)
			this.count -= carriers.length - others.length
			this.byDataCentre.set(dataCentre, others)
		}
	}

	/** @returns the instance that carries orders to a worker; undefined when none in its data centre can. */
	carrierFor({ id, dataCentre }: OrderTarget): string | undefined {
		const carriers = this.byDataCentre.get(dataCentre) ?? []
		if (carriers.length <= 1) return carriers[0]?.id
		return choose(id, carriers, { weighted: this.weighted.has(dataCentre) })?.id
	}
}
