/**
 * Selects the instance that carries orders to a worker: one in the worker's data centre, the same
 * one as long as it is usable, so that connections are reused and orders to a worker keep their
 * path.
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
 * Selects carriers for workers.
 *
 * @internal
 */
export class CarrierSelector {
	private readonly byDataCentre = new Map<string, WeightedCarrier[]>()
	private count = 0
	/**
	 * Data centres whose carriers have ever differed in weight. They stay weighted, so that a lost
	 * carrier moves only its own workers.
	 */
	private readonly weighted = new Set<string>()

	/** The number of instances that can carry orders. */
	get size(): number {
		return this.count
	}

	/** Replaces the instances that can carry orders. */
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

	/** Removes an instance until the next `setCarriers`. */
	remove(id: string): void {
		for (const [dataCentre, carriers] of this.byDataCentre) {
			const others = carriers.filter((other) => other.id !== id)
			this.count -= carriers.length - others.length
			this.byDataCentre.set(dataCentre, others)
		}
	}

	/**
	 * @returns the id of the instance that carries orders to a worker; undefined if its data centre
	 * has none.
	 */
	carrierFor({ id, dataCentre }: OrderTarget): string | undefined {
		const carriers = this.byDataCentre.get(dataCentre) ?? []
		if (carriers.length <= 1) return carriers[0]?.id
		return choose(id, carriers, { weighted: this.weighted.has(dataCentre) })?.id
	}
}
