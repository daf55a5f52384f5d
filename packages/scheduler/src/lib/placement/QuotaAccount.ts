/** What one holder of a quota has reserved, against its quota and its weight. */
import { minus, NOTHING, plus, type Resources } from '../capacity/Resources'

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
	used: Resources = NOTHING

	constructor(public terms: QuotaTerms) {}

	/** The largest share of any resource that it uses, against its weight. */
	share(total: Resources): number {
		const cpu = this.used.cpu / Math.max(1, total.cpu)
		const memory = this.used.memory / Math.max(1, total.memory)
		const accelerators = this.used.accelerators / Math.max(1, total.accelerators)
		return Math.max(cpu, memory, accelerators) / Math.max(LEAST_WEIGHT, this.terms.weight)
	}

	/** Whether the quota has room for that much more. */
	allows(need: Resources): boolean {
		return isWithin(plus(this.used, need), this.terms.quota)
	}

	/** Takes an amount, whether the quota has room for it or not. */
	take(need: Resources): void {
		this.used = plus(this.used, need)
	}

	/** Gives an amount back. */
	giveBack(need: Resources): void {
		this.used = minus(this.used, need)
	}
}

/** @returns a quota of so many times another. @public */
export function scaled({ cpu, memory, accelerators }: Quota, factor: number): Quota {
	const scale = (amount: number | undefined): number | undefined =>
		amount === undefined ? undefined : amount * factor
	return { cpu: scale(cpu), memory: scale(memory), accelerators: scale(accelerators) }
}

/** @returns whether an amount is within a quota. @public */
export function isWithin(amount: Resources, quota: Quota | undefined): boolean {
	if (!quota) return true
	const { cpu = amount.cpu, memory = amount.memory, accelerators = amount.accelerators } = quota
	return amount.cpu <= cpu && amount.memory <= memory && amount.accelerators <= accelerators
}
