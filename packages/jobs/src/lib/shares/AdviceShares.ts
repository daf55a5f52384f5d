/** How client accounts share the time of the instances that ask for advice. */
import type { QuotaAccount } from '@rillrudder/scheduler'
import { compareTier, type Urgency } from '../placement/StepUrgency'

/** Time constant, in milliseconds, with which the time of an account's questions decays. */
const DECAY_TIME_MS = 10_000
/** Decayed time, in milliseconds, below which an account's entry is dropped. */
const MIN_TIME_MS = 1

/** The account that a question is asked for, and how urgent its step is. @internal */
export interface AdviceClaim {
	/** Undefined for a job without an account. */
	readonly account: QuotaAccount | undefined
	readonly urgency: Urgency
}

/** The time that an account's questions have taken recently, as replicated. @public */
export interface RecentAdviceTime {
	readonly account: string
	/** Exponentially decayed sum, in milliseconds. */
	readonly time: number
}

/**
 * The advice time that accounts have used recently. It only orders questions and delays none, so
 * that no instance is idle while a question waits.
 *
 * @internal
 */
export class AdviceShares {
	private readonly times = new Map<string, number>()

	/** @param decayedAt - when the restored times were recorded, on the leader's clock. */
	constructor(private decayedAt: number) {}

	/** Restores the time that an earlier leader recorded for an account. */
	restore({ account, time }: RecentAdviceTime): void {
		this.times.set(account, time)
	}

	/**
	 * Charges a question to its account.
	 *
	 * @param cost - milliseconds for which the question keeps an instance busy.
	 */
	charge({ account }: AdviceClaim, cost: number, now: number): void {
		if (!account) return
		this.decay(now)
		const { name } = account.terms
		this.times.set(name, (this.times.get(name) ?? 0) + cost)
	}

	/**
	 * Orders questions by tier, and those of one tier by the account's recent time relative to its
	 * weight, least first.
	 *
	 * @returns a negative number if the left one goes first, 0 if shares make no difference.
	 */
	compare(left: AdviceClaim, right: AdviceClaim): number {
		return compareTier(left.urgency, right.urgency) || this.usageOf(left) - this.usageOf(right)
	}

	/** @returns the recent time of each account. */
	recentTimes(now: number): RecentAdviceTime[] {
		this.decay(now)
		return [...this.times].map(([account, time]) => ({ account, time: Math.round(time) }))
	}

	/**
	 * Recent time by weight. A question without an account counts like one of an account without
	 * recent time.
	 */
	private usageOf({ account }: AdviceClaim): number {
		return account ? (this.times.get(account.terms.name) ?? 0) / account.weight : 0
	}

	private decay(now: number): void {
		const factor = Math.exp(-Math.max(0, now - this.decayedAt) / DECAY_TIME_MS)
		this.decayedAt = now
		for (const [account, time] of this.times) {
			const left = time * factor
			if (left < MIN_TIME_MS) this.times.delete(account)
			else this.times.set(account, left)
		}
	}
}
