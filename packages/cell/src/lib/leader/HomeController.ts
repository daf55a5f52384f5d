/**
 * Which customers' order this data centre keeps.
 *
 * A customer's first home follows from its name. A later one is claimed: the data centre that the
 * configuration of some revision names asks all others, each of which closes the home for that revision,
 * ends what it has open, and hands its keys over. Only when all have done so, or have been declared
 * down, does the claimant open it. Who has closed a home for a revision can't open it for an earlier
 * one, so two never have it, however late an answer comes.
 */
import { fenceRevisionOf, homeOf, isDown, type InForce } from '@rillrudder/settings'
import type { DataCentreState } from '../state/DataCentreState'
import type { RequestRecord } from '../state/RequestTable'
import type { Effects, Moment } from './Effects'
import type { OperatorCall, OperatorReply } from './operatorCalls'
import type { ReplyTo } from './OperatorController'

const ASK_EVERY = 500
/** Bytes of kept answers that go along with a home; the newest stay. */
const MOST_ANSWER_BYTES = 8 * 1024 * 1024
const SYSTEM = 'system'

/** HTTP statuses of a claim's answer. */
const ClaimAnswer = {
	/** Closed, with nothing open: here are the keys. */
	Given: 200,
	/** Ask again: it is being closed, or something is still open. */
	Wait: 202,
	/** A newer configuration names another home, or a newer claim was answered. */
	Refused: 409,
} as const

interface Claim {
	readonly customer: string
	readonly revision: number
	readonly given: Set<string>
	readonly records: RequestRecord[]
	askAt: number
	opening: boolean
}

type ClaimCall = Extract<OperatorCall, { kind: 'take-home' }>

/**
 * The leader's controller for customers' homes.
 *
 * @internal
 */
export class HomeController {
	private readonly claims = new Map<string, Claim>()
	private readonly firstHomes = new Map<string, string>()

	constructor(
		/** Name of the data centre. */
		readonly name: string,
		private readonly dataCentres: readonly string[],
		private readonly state: DataCentreState,
		private readonly effects: Effects,
		private readonly inForce: () => InForce
	) {}

	/** Forgets what only a leader needs. */
	clear(): void {
		this.claims.clear()
		this.firstHomes.clear()
	}

	/** Whether this data centre keeps a customer's order. */
	owns(customer: string): boolean {
		const record = this.state.homes.find(customer)
		const open = record ? record.open : this.firstHome(customer) === this.name
		return open && fenceRevisionOf(this.inForce().fences, this.name) <= (record?.revision ?? 0)
	}

	/** Where a customer's requests should go. */
	homeOf(customer: string): string {
		const { configuration } = this.inForce()
		return homeOf(configuration, this.dataCentres, customer)
	}

	/** Starts to claim a customer whose home should be here. */
	claim(customer: string): void {
		if (this.claims.has(customer)) return
		const { revision } = this.inForce()
		if (revision === 0) return
		const claim = { customer, revision, given: new Set<string>(), records: [] }
		this.claims.set(customer, { ...claim, askAt: 0, opening: false })
	}

	/** Claims what the configuration names, and asks again where it is time. */
	tick(moment: Moment): void {
		for (const { name, home } of this.inForce().configuration.customers) {
			if (home === this.name && !this.owns(name)) this.claim(name)
		}
		for (const claim of this.claims.values()) this.pursue(claim, moment)
	}

	/** Takes another data centre's answer to a claim. */
	answered(call: ClaimCall, from: string, reply: OperatorReply): void {
		const claim = this.claims.get(call.customer)
		if (!claim || claim.revision !== call.revision) return
		if (reply.code === ClaimAnswer.Refused) {
			this.claims.delete(call.customer)
		} else if (reply.code === ClaimAnswer.Given && !claim.given.has(from)) {
			claim.given.add(from)
			claim.records.push(...(reply.content as RequestRecord[]))
			claim.askAt = 0
		}
	}

	/** A home was opened here, or was not: a newer move stands. */
	opened(customer: string): void {
		this.claims.delete(customer)
	}

	/** Another data centre claims a home. */
	claimed(call: ClaimCall, moment: Moment, reply: ReplyTo): void {
		const { customer, to, revision } = call
		const record = this.state.homes.find(customer)
		if (record?.revision === revision && record.to === to) {
			if (this.state.requests.openOf(customer) > 0) {
				reply({ code: ClaimAnswer.Wait, message: 'ending what is open' })
			} else {
				reply({ code: ClaimAnswer.Given, message: '', content: this.recordsOf(customer) })
			}
			return
		}
		const newer = (record?.revision ?? 0) >= revision
		const other = this.inForce().revision >= revision && this.homeOf(customer) !== to
		if (newer || other) {
			reply({ code: ClaimAnswer.Refused, message: 'a newer claim or configuration stands' })
			return
		}
		reply({ code: ClaimAnswer.Wait, message: 'closing' })
		this.close(call, moment)
	}

	private close(call: ClaimCall, moment: Moment): void {
		const { customer, to, revision } = call
		const request = `close-${customer}-${to}-${revision}`
		const part = { operator: SYSTEM, request, at: moment.at }
		this.effects.commands.push({ kind: 'close-home', ...part, customer, to, revision })
	}

	private pursue(claim: Claim, moment: Moment): void {
		const { customer, revision } = claim
		if (this.owns(customer) || this.homeOf(customer) !== this.name) {
			this.claims.delete(customer)
			return
		}
		if (claim.opening || moment.now < claim.askAt) return
		claim.askAt = moment.now + ASK_EVERY
		const { fences } = this.inForce()
		const others = this.dataCentres.filter((one) => one !== this.name)
		const missing = others.filter((one) => !claim.given.has(one))
		if (missing.every((one) => isDown(fences, one))) {
			this.open(claim, missing, moment)
			return
		}
		for (const group of missing) {
			const request = `take-${customer}-${this.name}-${revision}`
			const call = { kind: 'take-home', operator: SYSTEM, request, customer } as const
			this.effects.groupCalls.push({ group, call: { ...call, to: this.name, revision } })
		}
	}

	private open(claim: Claim, without: readonly string[], moment: Moment): void {
		claim.opening = true
		const { customer, revision, records } = claim
		const at = moment.at
		const opening = { customer, revision, without: [...without], records, at }
		this.effects.commands.push({ kind: 'open-home', ...opening })
	}

	/** It follows from names that do not change, and is asked for at every tick. */
	private firstHome(customer: string): string {
		let home = this.firstHomes.get(customer)
		if (home === undefined) {
			home = homeOf({ customers: [] }, this.dataCentres, customer)
			this.firstHomes.set(customer, home)
		}
		return home
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
