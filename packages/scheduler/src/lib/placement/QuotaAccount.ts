/** What one holder of a quota has reserved, compared with its quota and its weight. */
import { minus, NO_RESOURCES, plus, type Resources } from '../capacity/Resources'

/** Replaces a weight of 0, so that a weighted share stays finite. */
const MIN_WEIGHT = 0.001

/** The most that may be in use at a time; an absent resource is not limited. @public */
export type Quota = Partial<Resources>

/** What a holder may use. @public */
export interface QuotaTerms {
	readonly name: string
	/** Its part of what all holders share, relative to the weights of the others. */
	readonly weight: number
	/** Absent for no limit. */
	readonly quota?: Quota
}

/**
 * One holder's account.
 *
 * @public
 */
export class QuotaAccount {
	used: Resources = NO_RESOURCES
	/** What it has reserved at each service, if that is recorded. */
	private readonly reserved = new Map<string, Resources>()

	constructor(public terms: QuotaTerms) {}

	/** Its weight, above 0. */
	get weight(): number {
		return Math.max(MIN_WEIGHT, this.terms.weight)
	}

	/** @returns its dominant share of a total, divided by its weight. */
	weightedShareOf(total: Resources): number {
		return dominantShare(this.used, total) / this.weight
	}

	/** @returns what it has reserved at a service. */
	reservedAt(service: string): Resources {
		return this.reserved.get(service) ?? NO_RESOURCES
	}

	/** Records a reservation at a service. */
	reserve(service: string, amount: Resources): void {
		this.reserved.set(service, plus(this.reservedAt(service), amount))
	}

	/** Records a release at a service. */
	release(service: string, amount: Resources): void {
		const left = minus(this.reservedAt(service), amount)
		const isNothing = left.cpu <= 0 && left.memory <= 0 && left.accelerators <= 0
		if (isNothing) this.reserved.delete(service)
		else this.reserved.set(service, left)
	}

	/** Whether the quota allows that much more. */
	allows(need: Resources): boolean {
		return isWithinQuota(plus(this.used, need), this.terms.quota)
	}

	/** Adds an amount to what is used, whether the quota allows it or not. */
	addUsage(need: Resources): void {
		this.used = plus(this.used, need)
	}

	/** Subtracts an amount from what is used. */
	subtractUsage(need: Resources): void {
		this.used = minus(this.used, need)
	}
}

/**
 * @returns the dominant share: the largest share of a total that an amount takes of any resource.
 *
 * @public
 */
export function dominantShare(amount: Resources, total: Resources): number {
	const cpu = amount.cpu / Math.max(1, total.cpu)
	const memory = amount.memory / Math.max(1, total.memory)
	const accelerators = amount.accelerators / Math.max(1, total.accelerators)
	return Math.max(cpu, memory, accelerators)
}

/** @returns a quota multiplied by a factor. @public */
export function scaleQuota({ cpu, memory, accelerators }: Quota, factor: number): Quota {
	const scale = (amount: number | undefined): number | undefined =>
		amount === undefined ? undefined : amount * factor
	return { cpu: scale(cpu), memory: scale(memory), accelerators: scale(accelerators) }
}

/** @returns whether an amount is within a quota. @public */
export function isWithinQuota(amount: Resources, quota: Quota | undefined): boolean {
	if (!quota) return true
	const { cpu = amount.cpu, memory = amount.memory, accelerators = amount.accelerators } = quota
	return amount.cpu <= cpu && amount.memory <= memory && amount.accelerators <= accelerators
}
