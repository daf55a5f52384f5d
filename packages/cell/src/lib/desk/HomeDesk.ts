/**
 * Which customers' order this data centre keeps. A home moves only when the data centre that has it
 * closes it, ends what is open, and hands its keys over; or when that one has been declared down.
 *
 * A customer's first home follows from its name. Later ones are claimed: the claimant asks all other
 * data centres, and whoever has the home gives it up to a claimant that the configuration names.
 */
import { fencedAt, homeOf, isDown, type InForce } from '@rillrudder/settings'
import type { DataCentreState } from '../state/DataCentreState'
import type { RequestRecord } from '../state/RequestBook'
import type { Effects, Moment } from './Effects'
import type { OperatorCall, OperatorReply } from './operatorCalls'
import type { ReplyTo } from './OperatorDesk'

const ASK_EVERY = 500
/** Bytes of kept answers that go along with a home; the newest stay. */
const MOST_ANSWER_BYTES = 8 * 1024 * 1024

/** HTTP statuses of a claim's answer. */
const Claimed = { Given: 200, Wait: 202, NotMine: 404, NotYours: 409 } as const

interface Claim {
	readonly customer: string
	/** Data centres that have said they don't have the home. */
	readonly without: Set<string>
	askAt: number
	opening: boolean
}

/**
 * The leader's desk for customers' homes.
 *
 * @internal
 */
export class HomeDesk {
	private readonly claims = new Map<string, Claim>()

	constructor(
		private readonly name: string,
		private readonly dataCentres: readonly string[],
		private readonly state: DataCentreState,
		private readonly effects: Effects,
		private readonly inForce: () => InForce
	) {}

	/** Forgets what only a leader needs. */
	clear(): void {
		this.claims.clear()
	}

	/** Whether this data centre keeps a customer's order. */
	owns(customer: string): boolean {
		const { fences } = this.inForce()
		const opened = this.state.homes.openedFrom(customer)?.revision
		const since = opened ?? (this.firstHome(customer) === this.name ? 0 : undefined)
		if (since === undefined || this.state.homes.closedTo(customer)) return false
		return fencedAt(fences, this.name) <= since
	}

	/** Where a customer's requests should go. */
	homeOf(customer: string): string {
		const { configuration } = this.inForce()
		return homeOf(configuration, this.dataCentres, customer)
	}

	/** Starts to claim a customer whose home should be here. */
	claim(customer: string): void {
		if (this.claims.has(customer)) return
		this.claims.set(customer, { customer, without: new Set(), askAt: 0, opening: false })
	}

	/** Claims what the configuration names, and asks again where it is time. */
	tick(moment: Moment): void {
		for (const { name, home } of this.inForce().configuration.customers) {
			if (home === this.name && !this.owns(name)) this.claim(name)
		}
		for (const claim of this.claims.values()) this.pursue(claim, moment)
	}

	/** Takes another data centre's answer to a claim. */
	answered(customer: string, from: string, reply: OperatorReply, moment: Moment): void {
		const claim = this.claims.get(customer)
		if (!claim) return
		if (reply.code === Claimed.Given)
			this.open(claim, from, reply.content as RequestRecord[], moment)
		else if (reply.code === Claimed.NotMine) claim.without.add(from)
	}

	/** A home was opened here, or was not: a newer move stands. */
	opened(customer: string): void {
		this.claims.delete(customer)
	}

	/** Another data centre claims a home. */
	claimed(
		call: Extract<OperatorCall, { kind: 'take-home' }>,
		moment: Moment,
		reply: ReplyTo
	): void {
		const { customer, to, revision } = call
		const closed = this.state.homes.closedTo(customer)
		if (closed?.other === to) {
			if (this.state.requests.openOf(customer) > 0) reply({ code: Claimed.Wait, message: 'ending' })
			else reply({ code: Claimed.Given, message: '', content: this.recordsOf(customer) })
			return
		}
		if (!this.owns(customer)) {
			reply({ code: Claimed.NotMine, message: '' })
			return
		}
		if (this.inForce().revision >= revision && this.homeOf(customer) !== to) {
			reply({ code: Claimed.NotYours, message: 'a newer configuration names another home' })
			return
		}
		reply({ code: Claimed.Wait, message: 'closing' })
		const request = `close-${customer}-${to}-${revision}`
		const operator = 'system'
		const at = moment.at
		this.effects.commands.push({
			kind: 'close-home',
			operator,
			request,
			at,
			customer,
			to,
			revision,
		})
	}

	private pursue(claim: Claim, moment: Moment): void {
		if (this.owns(claim.customer) || this.homeOf(claim.customer) !== this.name) {
			this.claims.delete(claim.customer)
			return
		}
		if (claim.opening || moment.now < claim.askAt) return
		claim.askAt = moment.now + ASK_EVERY
		const { fences, revision } = this.inForce()
		const others = this.dataCentres.filter((one) => one !== this.name)
		const asked = others.filter((one) => !claim.without.has(one))
		if (asked.every((one) => isDown(fences, one))) {
			this.open(claim, asked.join(' '), [], moment)
			return
		}
		const { customer } = claim
		for (const group of asked) {
			const request = `take-${customer}-${this.name}-${revision}`
			const call = { kind: 'take-home', operator: 'system', request, customer } as const
			this.effects.groupCalls.push({ group, call: { ...call, to: this.name, revision } })
		}
	}

	private open(claim: Claim, from: string, records: RequestRecord[], moment: Moment): void {
		claim.opening = true
		const { customer } = claim
		const { revision, fences } = this.inForce()
		const forced = from !== '' && isDown(fences, from.split(' ')[0])
		const at = moment.at
		const name = from === '' ? 'nobody' : from
		this.effects.commands.push({
			kind: 'open-home',
			customer,
			from: name,
			revision: Math.max(1, revision),
			forced,
			records,
			at,
		})
	}

	private firstHome(customer: string): string {
		return homeOf({ customers: [] }, this.dataCentres, customer)
	}

	/** Finished requests, newest answers first until the bound is reached; the keys all go. */
	private recordsOf(customer: string): RequestRecord[] {
		let left = MOST_ANSWER_BYTES
		return this.state.requests
			.recordsOf(customer)
			.reverse()
			.map((record) => {
				left -= record.answer?.body.length ?? 0
				return left >= 0 ? record : { ...record, answer: undefined }
			})
			.reverse()
	}
}
