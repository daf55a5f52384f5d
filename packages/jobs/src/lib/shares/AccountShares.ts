/**
 * How the client accounts share the room of each service while some of them wait for it. It orders work and refuses nothing: room that
 * nobody else wants is free to all.
 */
import { type QuotaAccount, type Resources } from '@rillrudder/scheduler'
import type { AccountStanding } from './AccountStanding'
import type { ServiceCapacity } from './ServiceCapacity'
import { ServiceShares } from './ServiceShares'

/** What an account has of one service. @internal */
export interface ServiceStanding extends AccountStanding {
	readonly service: string
	/** How many accounts wait for room there. */
	readonly contenders: number
}

/** What an account had of a service on the mean of late, as it is replicated. @public */
export interface RecentCapacityShare {
	readonly account: string
	readonly service: string
	/** From 0 to 1, of the largest resource. */
	readonly share: number
}

/** What a look finds. @internal */
export interface ShareInputs {
	/** The moment, on the leader's clock. */
	readonly now: number
	/** The room of the workers, by service. */
	readonly capacities: ReadonlyMap<string, ServiceCapacity>
	readonly accounts: Iterable<QuotaAccount>
	readonly demands: Iterable<CapacityDemand>
}

/** Tasks of an account that wait for room. @internal */
export interface CapacityDemand {
	readonly account: QuotaAccount
	readonly service: string
	/** What they need together. */
	readonly need: Resources
}

/**
 * The shares of all services.
 *
 * @example
 * ```ts
 * shares.look({ now, rooms, accounts, wants })
 * if (shares.isOver(account, service)) letOthersGoFirst()
 * ```
 * @internal
 */
export class AccountShares {
	private readonly services = new Map<string, ServiceShares>()
	private lookedAt: number

	/** @param since - when what is restored was noted, on the leader's clock. */
	constructor(since: number) {
		this.lookedAt = since
	}

	/** Takes up what an account had. */
	restore(account: QuotaAccount, { service, share }: RecentCapacityShare): void {
		this.sharesOf(service).restore(account, share)
	}

	/** Looks anew at what accounts hold and want. @returns the accounts that have gone over a share, or have come back. */
	update({ now, capacities: rooms, accounts, demands: wants }: ShareInputs): ServiceStanding[] {
		const holders = [...accounts]
		for (const [service, room] of rooms) {
			const shares = this.sharesOf(service)
			for (const account of holders) shares.track(account)
			shares.beginUpdate(room, now)
		}
		this.lookedAt = now
		for (const { account, service, need } of wants) {
			if (rooms.has(service)) this.sharesOf(service).addDemand(account, need)
		}
		return [...this.services].flatMap(([service, shares]) =>
			shares.finishUpdate().map((standing) => this.inService(service, shares, standing))
		)
	}

	/** Room is kept for a step of an account, which counts as what it holds. */
	addReservation(account: QuotaAccount, service: string, room: Resources): void {
		this.sharesOf(service).addReservation(account, room)
	}

	/**
	 * @param kept - room that is kept for steps of the account that go before the one that is asked for.
	 * @returns whether an account has more than its share of a service while others wait for room there.
	 */
	isOverShare(account: QuotaAccount, service: string, kept?: Resources): boolean {
		return this.services.get(service)?.isOverShare(account, kept) ?? false
	}

	/** @returns the share of a service's room that an account may count on now, from 0 to 1. */
	shareOf(account: QuotaAccount, service: string): number {
		return this.services.get(service)?.shareOf(account) ?? 0
	}

	/** What accounts have, by service. */
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
		const shares = this.services.get(service) ?? new ServiceShares(service, this.lookedAt)
		this.services.set(service, shares)
		return shares
	}
}
