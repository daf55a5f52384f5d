/**
 * How the client accounts share the room of one service while some of them wait for it: weighted dominant-resource fairness over
 * what each holds now and has had of late.
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
import { freeShare, quotaShare, type ServiceRoom } from './ServiceRoom'

/** Milliseconds over which what an account has had is averaged: a burst of a few seconds after a pause stays below its share. */
const HAD_SPAN = 10_000
/** Times its share above which an account counts as over it; it comes back at its share, so that the order does not flip. */
const OVER_FACTOR = 1.1
/** Share of a service's room below which what an account has had is forgotten. */
const LEAST_HAD = 0.0005

interface Member {
	readonly account: QuotaAccount
	had: number
	over: boolean
	/** What its waiting tasks need. */
	wanted: Resources
	/** Room that is kept for it, besides what it has reserved. */
	kept: Resources
	/** Computed once for each look. */
	share: number | undefined
}

/**
 * The shares of one service's room.
 *
 * @internal
 */
export class ServiceShares {
	private readonly members = new Map<string, Member>()
	private room: ServiceRoom = { total: NO_RESOURCES, free: NO_RESOURCES }
	/** What each account that waits may count on for a weight of 1, as of the last look. */
	private level = 0

	/**
	 * @param service - its name.
	 * @param lookedAt - since when what accounts had is to be averaged, on the leader's clock.
	 */
	constructor(
		private readonly service: string,
		private lookedAt: number
	) {}

	/** Everything that is known of the accounts here. */
	*all(): IterableIterator<AccountStanding> {
		for (const member of this.members.values()) yield this.standingOf(member)
	}

	/** How many accounts wait for room. */
	get waiting(): number {
		return this.contenders().length
	}

	/** Takes up what an account had, as an earlier leader noted it. */
	restore(account: QuotaAccount, had: number): void {
		this.memberOf(account).had = had
	}

	/**
	 * A new look begins.
	 *
	 * @param room - what there is now.
	 * @param now - the moment, on the leader's clock.
	 */
	begin(room: ServiceRoom, now: number): void {
		const passed = Math.max(0, now - this.lookedAt)
		this.lookedAt = now
		this.room = room
		const weight = 1 - Math.exp(-passed / HAD_SPAN)
		for (const [name, member] of this.members) {
			const held = this.heldBy(member, member.kept)
			member.had += (held - member.had) * weight
			if (member.had < LEAST_HAD && held === 0) this.members.delete(name)
			member.wanted = NO_RESOURCES
			member.kept = NO_RESOURCES
			member.share = undefined
		}
	}

	/** An account that holds something here is looked at from now on. */
	note(account: QuotaAccount): void {
		if (account.reservedAt(this.service) !== NO_RESOURCES) this.memberOf(account)
	}

	/** Tasks of an account wait for room of this much. */
	want(account: QuotaAccount, need: Resources): void {
		const member = this.memberOf(account)
		member.wanted = plus(member.wanted, need)
	}

	/** Room of this much is kept for an account. */
	keep(account: QuotaAccount, room: Resources): void {
		const member = this.memberOf(account)
		member.kept = plus(member.kept, room)
	}

	/** Everything that waits is told. @returns the accounts that have gone over their share, or have come back. */
	settle(): AccountStanding[] {
		this.level = this.levelWith()
		const changed: AccountStanding[] = []
		for (const member of this.members.values()) {
			const over = waits(member) && this.isOver(member.account)
			if (over === member.over) continue
			member.over = over
			changed.push(this.standingOf(member))
		}
		return changed
	}

	/** @returns whether an account has more than its share here while others wait, beside what is kept for steps that go before. */
	isOver(account: QuotaAccount, kept = NO_RESOURCES): boolean {
		const member = this.members.get(account.terms.name)
		if (!member || !this.othersWait(member)) return false
		const held = this.heldBy(member, kept)
		// What it holds counts as much as what it had: after a pause it may hold twice its share for a while.
		const use = (held + member.had) / 2
		return use > this.shareIn(member) * (member.over ? 1 : OVER_FACTOR)
	}

	/** @returns the share of the room that an account may count on now, from 0 to 1. */
	shareOf(account: QuotaAccount): number {
		const member = this.members.get(account.terms.name)
		return member ? this.shareIn(member) : this.newShare(account)
	}

	private shareIn(member: Member): number {
		member.share ??= this.newShare(member.account)
		return member.share
	}

	/** Its share beside the others that wait: one that does not wait is taken to want all that it can get. */
	private newShare(account: QuotaAccount): number {
		const member = this.members.get(account.terms.name)
		const most = quotaShare(account, this.room.total)
		const isWaiting = member !== undefined && waits(member)
		const level = isWaiting ? this.level : this.levelWith(account, most)
		return Math.min(1, most, level * account.weight)
	}

	/** The level of max-min fairness among the accounts that wait, and one more where it is given with the most that it can use. */
	private levelWith(account?: QuotaAccount, most = 0): number {
		const waiting = this.contenders()
		const contenders = waiting.map((member) => this.contenderOf(member))
		if (account) contenders.push({ weight: account.weight, most })
		const accounts = [...waiting.map((member) => member.account), ...(account ? [account] : [])]
		const held = accounts.reduce((sum, one) => sum + this.reservedShare(one), 0)
		return maxMinLevel(contenders, held + freeShare(this.room))
	}

	private reservedShare(account: QuotaAccount): number {
		return dominantShare(account.reservedAt(this.service), this.room.total)
	}

	/** The most that an account can use of the room: what it holds and waits for, within its quota. */
	private contenderOf(member: Member): Contender {
		const { account, wanted } = member
		const wish = dominantShare(plus(this.reservedOf(member), wanted), this.room.total)
		return { weight: account.weight, most: Math.min(wish, quotaShare(account, this.room.total)) }
	}

	private contenders(): Member[] {
		return [...this.members.values()].filter(waits)
	}

	private othersWait(member: Member): boolean {
		for (const other of this.members.values()) if (other !== member && waits(other)) return true
		return false
	}

	private standingOf(member: Member): AccountStanding {
		const { account, had, over } = member
		const held = this.reservedShare(account)
		return { account, share: this.shareIn(member), held, had, over, waits: waits(member) }
	}

	/** Room is kept where others still run, or the account itself: together it may be more than there is. */
	private heldBy(member: Member, kept: Resources): number {
		return Math.min(1, dominantShare(plus(this.reservedOf(member), kept), this.room.total))
	}

	private reservedOf({ account }: Member): Resources {
		return account.reservedAt(this.service)
	}

	private memberOf(account: QuotaAccount): Member {
		const { name } = account.terms
		const known = this.members.get(name)
		if (known) return known
		const wanted = NO_RESOURCES
		const member = { account, had: 0, over: false, wanted, kept: NO_RESOURCES, share: undefined }
		this.members.set(name, member)
		return member
	}
}

function waits({ wanted }: Member): boolean {
	return wanted !== NO_RESOURCES
}
