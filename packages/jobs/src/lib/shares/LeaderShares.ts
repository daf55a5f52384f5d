/**
 * The shares of client accounts in one leadership: restores recent usage from the previous leader,
 * replicates it for the next one, and reports it to operators.
 */
import { Measure } from '@rillrudder/telemetry'
import type { AccountUsage } from '../accounts/AccountUsage'
import { epochTimeOf, type LeaderContext } from '../leader/LeaderContext'
import { LeaderEvent } from '../leader/LeaderEvent'
import {
	AccountShares,
	type RecentCapacityShare,
	type ServiceStanding,
	type CapacityDemand,
} from './AccountShares'
import { AdviceShares } from './AdviceShares'
import type { RecentUsage } from './RecentUsage'
import type { UsefulnessOrder } from '../placement/UsefulnessOrder'
import type { ServiceCapacity } from './ServiceCapacity'

/**
 * Milliseconds between two records for the next leader: about a third of the time constant with
 * which shares are averaged.
 */
const RECORD_PERIOD_MS = 3000
/**
 * Upper bound, in milliseconds, of the time without a leader: the wall clock may have been adjusted
 * in the meantime.
 */
const MAX_GAP_MS = 30_000
/**
 * Maximum number of entries of each kind in one record; for capacity those with the largest recent
 * shares.
 */
const MAX_RECORDED = 1000
/** Recorded shares are rounded to one part in this many. */
const RECORDED_PRECISION = 10_000
/**
 * Maximum number of pairs of account and service with gauges; the list of accounts has all of them.
 */
const MAX_WITH_METRICS = 50

/**
 * The shares of one leadership.
 *
 * @internal
 */
export class LeaderShares {
	readonly capacityShares: AccountShares
	readonly adviceShares: AdviceShares
	private readonly startedAt: number
	private nextRecordAt: number
	private lastRecorded = ''
	private readonly accountsWithMetrics = new Set<string>()

	constructor(
		private readonly context: LeaderContext,
		private readonly accounts: AccountUsage,
		/** Whether steps are ordered by usefulness. */
		readonly usefulnessOrder: UsefulnessOrder
	) {
		const now = context.clock.now()
		const { shares } = context.state
		const gap = shares ? Math.min(MAX_GAP_MS, Math.max(0, epochTimeOf(context) - shares.at)) : 0
		this.startedAt = now
		this.nextRecordAt = now + RECORD_PERIOD_MS
		this.capacityShares = new AccountShares(now - gap)
		this.adviceShares = new AdviceShares(now - gap)
		if (shares && this.isEnabled) this.restore(shares)
	}

	/**
	 * Whether accounts have shares: the settings enable them and the configuration has accounts with
	 * a weight.
	 */
	get isEnabled(): boolean {
		const { policy, state } = this.context
		if (!policy.shares) return false
		return state.configuration?.accounts?.some(({ weight }) => weight > 0) ?? false
	}

	/**
	 * Updates the shares, and logs which accounts have gone over their share or have come back within
	 * it.
	 */
	update(
		now: number,
		capacities: ReadonlyMap<string, ServiceCapacity>,
		demands: Iterable<CapacityDemand>
	): void {
		const accounts = this.accounts.all()
		for (const standing of this.capacityShares.update({
			now,
			capacities,
			accounts,
			demands,
		}))
			this.logChange(standing, now)
	}

	/**
	 * Replicates the recent usage of accounts for the next leader, if that is due and has changed.
	 */
	tick(now: number): void {
		if (now < this.nextRecordAt || !this.isEnabled) return
		this.nextRecordAt = now + RECORD_PERIOD_MS
		const rooms = this.recentCapacityShares()
		const advice = this.adviceShares.recentTimes(now).slice(0, MAX_RECORDED)
		const text = JSON.stringify([rooms, advice])
		if (text === this.lastRecorded) return
		this.lastRecorded = text
		const had = { at: epochTimeOf(this.context), rooms, advice }
		this.context.proposals.propose({ kind: 'shares', had })
	}

	/** Sets the gauges of shares and usage. */
	updateMetrics(): void {
		if (!this.isEnabled) return
		for (const { account, service, share, held } of this.capacityShares.standings()) {
			const labels = { account: account.terms.name, service }
			if (!this.hasMetrics(`${service} ${labels.account}`)) continue
			this.context.meter.gauge(Measure.AccountShare, share, labels)
			this.context.meter.gauge(Measure.AccountUse, held, labels)
		}
	}

	private restore({ rooms, advice }: RecentUsage): void {
		const known = new Map([...this.accounts.all()].map((account) => [account.terms.name, account]))
		for (const had of rooms) {
			const account = known.get(had.account)
			if (account) this.capacityShares.restore(account, had)
		}
		for (const had of advice) this.adviceShares.restore(had)
	}

	private recentCapacityShares(): RecentCapacityShare[] {
		return [...this.capacityShares.standings()]
			.sort((left, right) => right.had - left.had)
			.slice(0, MAX_RECORDED)
			.map(({ account, service, had }) => {
				const share = Math.round(had * RECORDED_PRECISION) / RECORDED_PRECISION
				return { account: account.terms.name, service, share }
			})
	}

	private logChange(standing: ServiceStanding, now: number): void {
		const { account, service, share, held, had, over, contenders } = standing
		const fields = {
			account: account.terms.name,
			service,
			share: rounded(share),
			held: rounded(held),
			had: rounded(had),
			contenders,
			observed: Math.round(now - this.startedAt),
		}
		const { log, meter } = this.context
		if (!over) return log.info(LeaderEvent.ShareRegained, fields)
		meter.count(Measure.SharesExceeded)
		log.info(LeaderEvent.ShareExceeded, fields)
	}

	private hasMetrics(name: string): boolean {
		if (this.accountsWithMetrics.size < MAX_WITH_METRICS) this.accountsWithMetrics.add(name)
		return this.accountsWithMetrics.has(name)
	}
}

function rounded(share: number): number {
	return Math.round(share * 1000) / 1000
}
