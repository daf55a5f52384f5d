/**
 * Which instance carries orders to a worker: one in the worker's own data centre, always the same while it can be
 * used, so that connections are kept and orders to a worker keep their way.
 */
import type { OrderTarget } from '@rillrudder/jobs'
import { textHash } from '@rillrudder/utils'

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
export class CarrierChoice {
	private readonly byDataCentre = new Map<string, string[]>()
	private count = 0

	/** How many instances can carry orders. */
	get size(): number {
		return this.count
	}

	/** These instances can carry orders from now on, and no others. */
	set(carriers: readonly Carrier[]): void {
		this.byDataCentre.clear()
		this.count = carriers.length
		for (const { id, dataCentre } of carriers) {
			this.byDataCentre.set(dataCentre, [...(this.byDataCentre.get(dataCentre) ?? []), id])
		}
	}

	/** An instance can carry no orders for now. */
	drop(id: string): void {
		for (const [dataCentre, ids] of this.byDataCentre) {
			if (!ids.includes(id)) continue
			this.count -= 1
			this.byDataCentre.set(
				dataCentre,
				ids.filter((other) => other !== id)
			)
		}
	}

	/** @returns the instance that carries orders to a worker; undefined when none in its data centre can. */
	of({ id, dataCentre }: OrderTarget): string | undefined {
		const ids = this.byDataCentre.get(dataCentre) ?? []
		if (ids.length <= 1) return ids[0]
		// The highest hash of the pair: a worker changes its carrier only when that one comes or goes.
		return ids.reduce((best, other) => (rank(id, other) > rank(id, best) ? other : best))
	}
}

function rank(worker: string, carrier: string): number {
	return textHash(`${worker} ${carrier}`)
}
