/**
 * How client accounts share the capacity of each service while some of them wait for it. Shares
 * only order work and refuse nothing: capacity that nobody else wants is available to every
 * account.
 */
import { type QuotaAccount, type Resources } from '@rillrudder/scheduler'
import type { AccountStanding } from './AccountStanding'
import type { ServiceCapacity } from './ServiceCapacity'
import { ServiceShares } from './ServiceShares'

/** The standing of an account at a named service. @internal */
export interface ServiceStanding extends AccountStanding {
	readonly service: string
	/** The number of accounts that wait for capacity there. */
	readonly contenders: number
}

/** The average share of a service that an account has held recently, as replicated. @public */
export interface RecentCapacityShare {
	readonly account: string
	readonly service: string
	/** The dominant share, from 0 to 1. */
	readonly share: number
}

/** The input of an update. @internal */
export interface ShareInputs {
	/** The moment, on the leader's clock. */
	readonly now: number
	/** The capacity of the workers, by service. */
	readonly capacities: ReadonlyMap<string, ServiceCapacity>
	readonly accounts: Iterable<QuotaAccount>
	readonly demands: Iterable<CapacityDemand>
}

/** The demand of an account's tasks that wait for capacity. @internal */
export interface CapacityDemand {
	readonly account: QuotaAccount
	readonly service: string
	/** The sum of what the tasks need. */
	readonly need: Resources
}

/**
 * The shares of all services.
 *
 * @example
 * ```ts
 * shares.update({ now, capacities, accounts, demands })
 * if (shares.isOverShare(account, service)) defer(step)
 * ```
 * @internal
 */
export class AccountShares {
	private readonly services = new Map<string, ServiceShares>()
	private updatedAt: number

	/** @param since - when the restored shares were recorded, on the leader's clock. */
	constructor(since: number) {
		this.updatedAt = since
	}

	/** Restores a recent share that an earlier leader recorded. */
	restore(account: QuotaAccount, { service, share }: RecentCapacityShare): void {
		this.sharesOf(service).restore(account, share)
	}

	/**
	 * Updates the shares.
	 *
	 * @returns the accounts that have gone over a share, or have come back within it.
	 */
	update({ now, capacities, accounts, demands }: ShareInputs): ServiceStanding[] {
		const holders = [...accounts]
		for (const [service, capacity] of capacities) {
			const shares = this.sharesOf(service)
			for (const account of holders) shares.track(account)
			shares.beginUpdate(capacity, now)
		}
		this.updatedAt = now
		for (const { account, service, need } of demands) {
			if (capacities.has(service)) this.sharesOf(service).addDemand(account, need)
		}
		return [...this.services].flatMap(([service, shares]) =>
			shares.finishUpdate().map((standing) => this.inService(service, shares, standing))
		)
	}

	/** Adds capacity that is reserved for a step of an account; it counts as held. */
	addReservation(account: QuotaAccount, service: string, amount: Resources): void {
		this.sharesOf(service).addReservation(account, amount)
	}

	/**
	 * @param reserved - capacity that is reserved for earlier steps of the account.
	 * @returns whether an account has more than its share of a service while others wait for capacity
	 * there.
	 */
	isOverShare(account: QuotaAccount, service: string, reserved?: Resources): boolean {
		return this.services.get(service)?.isOverShare(account, reserved) ?? false
	}

	/** @returns the share of a service's capacity that an account may count on now, from 0 to 1. */
	shareOf(account: QuotaAccount, service: string): number {
		return this.services.get(service)?.shareOf(account) ?? 0
	}

	/** The standings of all accounts, by service. */
	*standings(): IterableIterator<ServiceStanding> {
		for (const [service, shares] of this.services) {
			for (const standing of shares.standings()) yield this.inService(service, shares, standing)
		}
	}

	private inService(
		service: string,
		shares: ServiceShares,
		standing: AccountStanding
	): ServiceStanding {
		return { ...standing, service, contenders: shares.contenderCount }
	}

	private sharesOf(service: string): ServiceShares {
		const shares = this.services.get(service) ?? new ServiceShares(service, this.updatedAt)
		this.services.set(service, shares)
		return shares
	}
}
