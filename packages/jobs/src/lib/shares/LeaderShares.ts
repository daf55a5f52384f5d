/**
 * The shares of client accounts in one leadership: what is taken up from the leader before, what the next one is told, and what operators
 * see of it.
 */
import { Measure } from '@rillrudder/telemetry'
import type { AccountUsage } from '../accounts/AccountUsage'
import { epochOf, type LeaderContext } from '../leader/LeaderContext'
import { LeaderEvent } from '../leader/LeaderEvent'
import { AccountShares, type HadRoom, type ServiceStanding, type Want } from './AccountShares'
import { AdviceShares } from './AdviceShares'
import type { HadShares } from './HadShares'
import type { UsefulnessOrder } from '../placement/UsefulnessOrder'
import type { ServiceRoom } from './ServiceRoom'

/** Milliseconds between two notes for the next leader: a third of the span over which shares are averaged. */
const NOTE_EVERY = 3000
/** Milliseconds without a leader that count at most; a calendar may have been set meanwhile. */
const MOST_GAP = 30_000
/** What one note tells at most, those who had most. */
const MOST_NOTED = 1000
/** Parts of one in which shares are noted. */
const NOTED_PARTS = 10_000
/** Accounts and services that are measured; the others are in the list of accounts. */
const MOST_MEASURED = 50

/**
 * The shares of one leadership.
 *
 * @internal
 */
export class LeaderShares {
	readonly rooms: AccountShares
	readonly advice: AdviceShares
	private readonly began: number
	private noteDue: number
	private noted = ''
	private readonly measured = new Set<string>()

	constructor(
		private readonly context: LeaderContext,
		private readonly accounts: AccountUsage,
		/** Whether steps are ordered by the use that they are of. */
		readonly use: UsefulnessOrder
	) {
		const now = context.clock.now()
		const { shares } = context.state
		const gap = shares ? Math.min(MOST_GAP, Math.max(0, epochOf(context) - shares.at)) : 0
		this.began = now
		this.noteDue = now + NOTE_EVERY
		this.rooms = new AccountShares(now - gap)
		this.advice = new AdviceShares(now - gap)
		if (shares && this.inForce) this.restore(shares)
	}

	/** Whether accounts have shares: the settings call for it and the configuration has accounts with weights. */
	get inForce(): boolean {
		const { policy, state } = this.context
		if (!policy.shares) return false
		return state.configuration?.accounts?.some(({ weight }) => weight > 0) ?? false
	}

	/** Looks anew at what accounts hold and want, and tells who has gone over a share or come back. */
	look(now: number, rooms: ReadonlyMap<string, ServiceRoom>, wants: Iterable<Want>): void {
		const accounts = this.accounts.all()
		for (const standing of this.rooms.look({ now, rooms, accounts, wants }))
			this.tell(standing, now)
	}

	/** Notes for the next leader what accounts had, where that is due and has changed. */
	tick(now: number): void {
		if (now < this.noteDue || !this.inForce) return
		this.noteDue = now + NOTE_EVERY
		const rooms = this.hadRooms()
		const advice = this.advice.had(now).slice(0, MOST_NOTED)
		const text = JSON.stringify([rooms, advice])
		if (text === this.noted) return
		this.noted = text
		const had = { at: epochOf(this.context), rooms, advice }
		this.context.proposals.propose({ kind: 'shares', had })
	}

	/** Sets the gauges of shares and use. */
	measure(): void {
		if (!this.inForce) return
		for (const { account, service, share, held } of this.rooms.all()) {
			const labels = { account: account.terms.name, service }
			if (!this.isMeasured(`${service} ${labels.account}`)) continue
			this.context.meter.gauge(Measure.AccountShare, share, labels)
			this.context.meter.gauge(Measure.AccountUse, held, labels)
		}
	}

	private restore({ rooms, advice }: HadShares): void {
		const known = new Map([...this.accounts.all()].map((account) => [account.terms.name, account]))
		for (const had of rooms) {
			const account = known.get(had.account)
			if (account) this.rooms.restore(account, had)
		}
		for (const had of advice) this.advice.restore(had)
	}

	private hadRooms(): HadRoom[] {
		return [...this.rooms.all()]
			.sort((left, right) => right.had - left.had)
			.slice(0, MOST_NOTED)
			.map(({ account, service, had }) => {
				const share = Math.round(had * NOTED_PARTS) / NOTED_PARTS
				return { account: account.terms.name, service, share }
			})
	}

	private tell(standing: ServiceStanding, now: number): void {
		const { account, service, share, held, had, over, contenders } = standing
		const fields = {
			account: account.terms.name,
			service,
			share: rounded(share),
			held: rounded(held),
			had: rounded(had),
			contenders,
			observed: Math.round(now - this.began),
		}
		const { log, meter } = this.context
		if (!over) return log.info(LeaderEvent.ShareRegained, fields)
		meter.count(Measure.SharesExceeded)
		log.info(LeaderEvent.ShareExceeded, fields)
	}

	private isMeasured(name: string): boolean {
		if (this.measured.size < MOST_MEASURED) this.measured.add(name)
		return this.measured.has(name)
	}
}

function rounded(share: number): number {
	return Math.round(share * 1000) / 1000
}
