/**
 * How client accounts share the capacity of one service while some of them wait for it: weighted
 * dominant-resource fairness over what each account holds now and has held recently.
 */
import {
	dominantShare,
	maxMinLevel,
	NO_RESOURCES,
	plus,
	type Contender,
	type QuotaAccount,
	type Resources,
} from '@rillrudder/scheduler'
import type { AccountStanding } from './AccountStanding'
import { freeShareOf, quotaShareOf, type ServiceCapacity } from './ServiceCapacity'

/**
 * Time constant, in milliseconds, of the moving average of what an account holds: a burst of a few
 * seconds after a pause stays below the account's share.
 */
const AVERAGING_TIME_MS = 10_000
/**
 * Multiple of its share above which an account counts as over it. It counts as within it again only
 * at its share: this hysteresis keeps the order from flipping.
 */
const OVER_FACTOR = 1.1
/**
 * Share of a service's capacity below which the recent share of an account that holds nothing is
 * dropped.
 */
const MIN_RECENT_SHARE = 0.0005

interface AccountEntry {
	readonly account: QuotaAccount
	/** Moving average of the share that the account has held. */
	recentShare: number
	isOver: boolean
	/** What the account's waiting tasks need. */
	demand: Resources
	/**
	 * Capacity that is reserved for the account's waiting steps, in addition to what its runs hold.
	 */
	reserved: Resources
	/** Computed at most once per update. */
	share: number | undefined
}

/**
 * The shares of one service's capacity.
 *
 * @internal
 */
export class ServiceShares {
	private readonly entries = new Map<string, AccountEntry>()
	private capacity: ServiceCapacity = { total: NO_RESOURCES, free: NO_RESOURCES }
	/** Share that each waiting account may count on per unit of weight, as of the last update. */
	private fairLevel = 0

	/**
	 * @param service - its name.
	 * @param updatedAt - the moment from which the recent shares are averaged, on the leader's clock.
	 */
	constructor(
		private readonly service: string,
		private updatedAt: number
	) {}

	/** The standings of all accounts that are tracked here. */
	*standings(): IterableIterator<AccountStanding> {
		for (const entry of this.entries.values()) yield this.standingOf(entry)
	}

	/** How many accounts wait for capacity. */
	get contenderCount(): number {
		return this.contenders().length
	}

	/** Restores an account's recent share as an earlier leader recorded it. */
	restore(account: QuotaAccount, recentShare: number): void {
		this.entryOf(account).recentShare = recentShare
	}

	/**
	 * Begins an update: averages what accounts have held since the last one, and clears demands and
	 * reservations.
	 *
	 * @param capacity - the current capacity.
	 * @param now - the moment, on the leader's clock.
	 */
	beginUpdate(capacity: ServiceCapacity, now: number): void {
		const elapsed = Math.max(0, now - this.updatedAt)
		this.updatedAt = now
		this.capacity = capacity
		const weight = 1 - Math.exp(-elapsed / AVERAGING_TIME_MS)
		for (const [name, entry] of this.entries) {
			const held = this.heldShareOf(entry, entry.reserved)
			entry.recentShare += (held - entry.recentShare) * weight
			if (entry.recentShare < MIN_RECENT_SHARE && held === 0) this.entries.delete(name)
			entry.demand = NO_RESOURCES
			entry.reserved = NO_RESOURCES
			entry.share = undefined
		}
	}

	/** Tracks an account from now on if it holds anything here. */
	track(account: QuotaAccount): void {
		if (account.reservedAt(this.service) !== NO_RESOURCES) this.entryOf(account)
	}

	/** Adds what waiting tasks of an account need. */
	addDemand(account: QuotaAccount, need: Resources): void {
		const entry = this.entryOf(account)
		entry.demand = plus(entry.demand, need)
	}

	/** Adds capacity that is reserved for a waiting step of an account. */
	addReservation(account: QuotaAccount, reserved: Resources): void {
		const entry = this.entryOf(account)
		entry.reserved = plus(entry.reserved, reserved)
	}

	/**
	 * Ends an update once all demands are added.
	 *
	 * @returns the accounts that have gone over their share, or have come back within it.
	 */
	finishUpdate(): AccountStanding[] {
		this.fairLevel = this.computeFairLevel()
		const changed: AccountStanding[] = []
		for (const entry of this.entries.values()) {
			const isOver = isWaiting(entry) && this.isOverShare(entry.account)
			if (isOver === entry.isOver) continue
			entry.isOver = isOver
			changed.push(this.standingOf(entry))
		}
		return changed
	}

	/**
	 * @param reserved - capacity that is reserved for earlier steps of the account; counts as held.
	 * @returns whether an account has more than its share here while others wait.
	 */
	isOverShare(account: QuotaAccount, reserved = NO_RESOURCES): boolean {
		const entry = this.entries.get(account.terms.name)
		if (!entry || !this.hasOtherContenders(entry)) return false
		const held = this.heldShareOf(entry, reserved)
		// Current and recent shares count equally: after a pause an account may hold twice its share
		// for a while.
		const use = (held + entry.recentShare) / 2
		return use > this.cachedShareOf(entry) * (entry.isOver ? 1 : OVER_FACTOR)
	}

	/** @returns the share of the capacity that an account may count on now, from 0 to 1. */
	shareOf(account: QuotaAccount): number {
		const entry = this.entries.get(account.terms.name)
		return entry ? this.cachedShareOf(entry) : this.computeShare(account)
	}

	private cachedShareOf(entry: AccountEntry): number {
		entry.share ??= this.computeShare(entry.account)
		return entry.share
	}

	/**
	 * The account's share in competition with the waiting accounts. An account that does not wait is
	 * assumed to want all that it can get.
	 */
	private computeShare(account: QuotaAccount): number {
		const entry = this.entries.get(account.terms.name)
		const maxUse = quotaShareOf(account, this.capacity.total)
		const isContender = entry !== undefined && isWaiting(entry)
		const level = isContender ? this.fairLevel : this.computeFairLevel(account, maxUse)
		return Math.min(1, maxUse, level * account.weight)
	}

	/**
	 * The max-min fair level among the waiting accounts.
	 *
	 * @param account - one more contender, if given.
	 * @param maxUse - the largest share that this account can use.
	 */
	private computeFairLevel(account?: QuotaAccount, maxUse = 0): number {
		const waiting = this.contenders()
		const contenders = waiting.map((entry) => this.contenderOf(entry))
		if (account) contenders.push({ weight: account.weight, maxUse })
		const accounts = [...waiting.map((entry) => entry.account), ...(account ? [account] : [])]
		const held = accounts.reduce((sum, one) => sum + this.reservedShareOf(one), 0)
		return maxMinLevel(contenders, held + freeShareOf(this.capacity))
	}

	private reservedShareOf(account: QuotaAccount): number {
		return dominantShare(account.reservedAt(this.service), this.capacity.total)
	}

	/** The largest share that an account can use: what it holds and waits for, within its quota. */
	private contenderOf(entry: AccountEntry): Contender {
		const { account, demand } = entry
		const wish = dominantShare(plus(this.reservedBy(entry), demand), this.capacity.total)
		return {
			weight: account.weight,
			maxUse: Math.min(wish, quotaShareOf(account, this.capacity.total)),
		}
	}

	private contenders(): AccountEntry[] {
		return [...this.entries.values()].filter(isWaiting)
	}

	private hasOtherContenders(entry: AccountEntry): boolean {
		for (const other of this.entries.values()) if (other !== entry && isWaiting(other)) return true
		return false
	}

	private standingOf(entry: AccountEntry): AccountStanding {
		const { account, recentShare, isOver } = entry
		const held = this.reservedShareOf(account)
		return {
			account,
			share: this.cachedShareOf(entry),
			held,
			had: recentShare,
			over: isOver,
			waits: isWaiting(entry),
		}
	}

	/**
	 * At most 1: capacity may be reserved where other accounts or the account itself still have runs,
	 * so the sum may exceed the total.
	 */
	private heldShareOf(entry: AccountEntry, reserved: Resources): number {
		return Math.min(1, dominantShare(plus(this.reservedBy(entry), reserved), this.capacity.total))
	}

	private reservedBy({ account }: AccountEntry): Resources {
		return account.reservedAt(this.service)
	}

	private entryOf(account: QuotaAccount): AccountEntry {
		const { name } = account.terms
		const known = this.entries.get(name)
		if (known) return known
		const demand = NO_RESOURCES
		const entry = {
			account,
			recentShare: 0,
			isOver: false,
			demand,
			reserved: NO_RESOURCES,
			share: undefined,
		}
		this.entries.set(name, entry)
		return entry
	}
}

function isWaiting({ demand }: AccountEntry): boolean {
	return demand !== NO_RESOURCES
}
