/** What one holder of a quota has reserved, against its quota and its weight. */
import { minus, NO_RESOURCES, plus, type Resources } from '../capacity/Resources'

/** Stands for a weight of nothing, so that a share against it is a number. */
const LEAST_WEIGHT = 0.001

/** The most that may be in use at a time; a resource that is left out is not limited. @public */
export type Quota = Partial<Resources>

/** What a holder may use. @public */
export interface QuotaTerms {
	readonly name: string
	/** Its part of what all holders share, against the other holders' weights. */
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
	/** What it has reserved at each service, where that is told. */
	private readonly reserved = new Map<string, Resources>()

	constructor(public terms: QuotaTerms) {}

	/** Its weight as a number to divide by. */
	get weight(): number {
		return Math.max(LEAST_WEIGHT, this.terms.weight)
	}

	/** The largest share of any resource that it uses, against its weight. */
	weightedShareOf(total: Resources): number {
		return dominantShare(this.used, total) / this.weight
	}

	/** @returns what it has reserved at a service. */
	reservedAt(service: string): Resources {
		return this.reserved.get(service) ?? NO_RESOURCES
	}

	/** Notes that it has reserved an amount at a service. */
	reserve(service: string, amount: Resources): void {
		this.reserved.set(service, plus(this.reservedAt(service), amount))
	}

	/** Notes that it has given an amount back at a service. */
	release(service: string, amount: Resources): void {
		const left = minus(this.reservedAt(service), amount)
		const isNothing = left.cpu <= 0 && left.memory <= 0 && left.accelerators <= 0
		if (isNothing) this.reserved.delete(service)
		else this.reserved.set(service, left)
	}

	/** Whether the quota has room for that much more. */
	allows(need: Resources): boolean {
		return isWithinQuota(plus(this.used, need), this.terms.quota)
	}

	/** Takes an amount, whether the quota has room for it or not. */
	addUsage(need: Resources): void {
		this.used = plus(this.used, need)
	}

	/** Gives an amount back. */
	subtractUsage(need: Resources): void {
		this.used = minus(this.used, need)
	}
}

/** @returns the largest share of any resource that an amount is of a total. @public */
export function dominantShare(amount: Resources, total: Resources): number {
	const cpu = amount.cpu / Math.max(1, total.cpu)
	const memory = amount.memory / Math.max(1, total.memory)
	const accelerators = amount.accelerators / Math.max(1, total.accelerators)
	return Math.max(cpu, memory, accelerators)
}

/** @returns a quota of so many times another. @public */
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
