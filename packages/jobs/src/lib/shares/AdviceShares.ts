/** How client accounts share the time of the instances that ask for advice. */
import type { QuotaAccount } from '@rillrudder/scheduler'
import { compareTier, type Urgency } from '../placement/StepUrgency'

/** Milliseconds over which the time that an account's questions took is kept in mind. */
const DECAY_TIME_MS = 10_000
/** Milliseconds below which it is forgotten. */
const MIN_TIME_MS = 1

/** Who asks a question, and how urgent its step is. @internal */
export interface AdviceClaim {
	/** Undefined for a job that belongs to none. */
	readonly account: QuotaAccount | undefined
	readonly urgency: Urgency
}

/** The time that an account's questions took of late, as it is replicated. @public */
export interface RecentAdviceTime {
	readonly account: string
	/** Milliseconds, the later ones counted more. */
	readonly time: number
}

/**
 * The advice that accounts had of late. It orders questions and holds none back, so that no instance rests while one waits.
 *
 * @internal
 */
export class AdviceShares {
	private readonly times = new Map<string, number>()

	/** @param decayedAt - when what is restored was noted, on the leader's clock. */
	constructor(private decayedAt: number) {}

	/** Takes up what an account had. */
	restore({ account, time }: RecentAdviceTime): void {
		this.times.set(account, time)
	}

	/** A question is asked that keeps an instance busy for some milliseconds. */
	charge({ account }: AdviceClaim, cost: number, now: number): void {
		if (!account) return
		this.decay(now)
		const { name } = account.terms
		this.times.set(name, (this.times.get(name) ?? 0) + cost)
	}

	/**
	 * Orders questions of one priority and usefulness: the account that had least advice by its weight goes first.
	 *
	 * @returns below 0 when the first goes before, 0 when shares make no difference.
	 */
	compare(left: AdviceClaim, right: AdviceClaim): number {
		return (
			compareTier(left.urgency, right.urgency) ||
			this.weightedTimeOf(left) - this.weightedTimeOf(right)
		)
	}

	/** What accounts had, in their order. */
	recentTimes(now: number): RecentAdviceTime[] {
		this.decay(now)
		return [...this.times].map(([account, time]) => ({ account, time: Math.round(time) }))
	}

	/** What belongs to no account goes with the accounts that had nothing. */
	private weightedTimeOf({ account }: AdviceClaim): number {
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
