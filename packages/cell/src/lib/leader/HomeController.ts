/**
 * Decides for which customers this data centre orders the requests, that is, whose home it is.
 *
 * A customer's initial home is derived from its name. A later home is claimed: the data centre that a
 * configuration revision names calls all others. Each closes the home for that revision, finishes its
 * open requests and returns its records. The claimant opens the home only when all have done so or are
 * declared down. A data centre that has closed a home for a revision can't open it for an earlier one,
 * so two data centres never hold it at once, however late a reply arrives.
 */
import { fenceRevisionOf, homeOf, isDown, type InForce } from '@rillrudder/settings'
import type { DataCentreState } from '../state/DataCentreState'
import type { RequestRecord } from '../state/RequestTable'
import type { Effects, Moment } from './Effects'
import type { OperatorCall, OperatorReply } from './operatorCalls'
import type { ReplyCallback } from './OperatorController'

const CLAIM_RETRY_INTERVAL_MS = 500
/** Bytes of stored answers that are transferred with a home; the newest ones are kept. */
const MAX_ANSWER_BYTES = 8 * 1024 * 1024
const SYSTEM = 'system'

/** HTTP statuses of a reply to a claim. */
const ClaimStatus = {
	/** The home is closed and no request is open; the reply carries the records. */
	Released: 200,
	/** The home is being closed or has open requests; the claimant must call again. */
	Pending: 202,
	/** A newer configuration names another home, or a newer claim was accepted. */
	Refused: 409,
} as const

interface Claim {
	readonly customer: string
	readonly revision: number
	readonly released: Set<string>
	readonly records: RequestRecord[]
	nextCallAt: number
	isOpening: boolean
}

type ClaimCall = Extract<OperatorCall, { kind: 'take-home' }>

/**
 * The leader's controller for customers' homes.
 *
 * @internal
 */
export class HomeController {
	private readonly claims = new Map<string, Claim>()
	private readonly initialHomes = new Map<string, string>()

	constructor(
		/** Name of the data centre. */
		readonly name: string,
		private readonly dataCentres: readonly string[],
		private readonly state: DataCentreState,
		private readonly effects: Effects,
		private readonly inForce: () => InForce
	) {}

	/** Discards leader-only state. */
	clear(): void {
		this.claims.clear()
		this.initialHomes.clear()
	}

	/** Whether this data centre is the home of a customer. */
	owns(customer: string): boolean {
		const record = this.state.homes.find(customer)
		const open = record ? record.open : this.initialHomeOf(customer) === this.name
		return open && fenceRevisionOf(this.inForce().fences, this.name) <= (record?.revision ?? 0)
	}

	/** @returns the data centre that the configuration names as a customer's home. */
	homeOf(customer: string): string {
		const { configuration } = this.inForce()
		return homeOf(configuration, this.dataCentres, customer)
	}

	/** Starts to claim the home of a customer that the configuration assigns to this data centre. */
	startClaim(customer: string): void {
		if (this.claims.has(customer)) return
		const { revision } = this.inForce()
		if (revision === 0) return
		const claim = { customer, revision, released: new Set<string>(), records: [] }
		this.claims.set(customer, { ...claim, nextCallAt: 0, isOpening: false })
	}

	/** Claims the homes that the configuration assigns here, and repeats calls that are due. */
	tick(moment: Moment): void {
		for (const { name, home } of this.inForce().configuration.customers) {
			if (home === this.name && !this.owns(name)) this.startClaim(name)
		}
		for (const claim of this.claims.values()) this.advanceClaim(claim, moment)
	}

	/** Handles another data centre's reply to a claim. */
	onClaimReply(call: ClaimCall, from: string, reply: OperatorReply): void {
		const claim = this.claims.get(call.customer)
		if (!claim || claim.revision !== call.revision) return
		if (reply.code === ClaimStatus.Refused) {
			this.claims.delete(call.customer)
		} else if (reply.code === ClaimStatus.Released && !claim.released.has(from)) {
			claim.released.add(from)
			claim.records.push(...(reply.content as RequestRecord[]))
			claim.nextCallAt = 0
		}
	}

	/** Handles the commit of an opening, which may have had no effect because of a newer move. */
	onHomeOpened(customer: string): void {
		this.claims.delete(customer)
	}

	/** Handles another data centre's claim of a home. */
	onClaim(call: ClaimCall, moment: Moment, reply: ReplyCallback): void {
		const { customer, to, revision } = call
		const record = this.state.homes.find(customer)
		if (record?.revision === revision && record.to === to) {
			if (this.state.requests.openOf(customer) > 0) {
				reply({ code: ClaimStatus.Pending, message: 'ending what is open' })
			} else {
				reply({ code: ClaimStatus.Released, message: '', content: this.recordsOf(customer) })
			}
			return
		}
		const hasNewerClaim = (record?.revision ?? 0) >= revision
		const namesOtherHome = this.inForce().revision >= revision && this.homeOf(customer) !== to
		if (hasNewerClaim || namesOtherHome) {
			reply({ code: ClaimStatus.Refused, message: 'a newer claim or configuration stands' })
			return
		}
		reply({ code: ClaimStatus.Pending, message: 'closing' })
		this.proposeClose(call, moment)
	}

	private proposeClose(call: ClaimCall, moment: Moment): void {
		const { customer, to, revision } = call
		const request = `close-${customer}-${to}-${revision}`
		const part = { operator: SYSTEM, request, at: moment.at }
		this.effects.commands.push({ kind: 'close-home', ...part, customer, to, revision })
	}

	private advanceClaim(claim: Claim, moment: Moment): void {
		const { customer, revision } = claim
		if (this.owns(customer) || this.homeOf(customer) !== this.name) {
			this.claims.delete(customer)
			return
		}
		if (claim.isOpening || moment.now < claim.nextCallAt) return
		claim.nextCallAt = moment.now + CLAIM_RETRY_INTERVAL_MS
		const { fences } = this.inForce()
		const others = this.dataCentres.filter((one) => one !== this.name)
		const missing = others.filter((one) => !claim.released.has(one))
		if (missing.every((one) => isDown(fences, one))) {
			this.proposeOpen(claim, missing, moment)
			return
		}
		for (const group of missing) {
			const request = `take-${customer}-${this.name}-${revision}`
			const call = { kind: 'take-home', operator: SYSTEM, request, customer } as const
			this.effects.groupCalls.push({ group, call: { ...call, to: this.name, revision } })
		}
	}

	private proposeOpen(claim: Claim, without: readonly string[], moment: Moment): void {
		claim.isOpening = true
		const { customer, revision, records } = claim
		const at = moment.at
		const opening = { customer, revision, without: [...without], records, at }
		this.effects.commands.push({ kind: 'open-home', ...opening })
	}

	/** Cached, since it depends only on names that don't change and is needed at every tick. */
	private initialHomeOf(customer: string): string {
		let home = this.initialHomes.get(customer)
		if (home === undefined) {
			home = homeOf({ customers: [] }, this.dataCentres, customer)
			this.initialHomes.set(customer, home)
		}
		return home
	}

	/** @returns all of a customer's records; older answers beyond `MAX_ANSWER_BYTES` are left out. */
	private recordsOf(customer: string): RequestRecord[] {
		let remaining = MAX_ANSWER_BYTES
		return this.state.requests
			.recordsOf(customer)
			.reverse()
			.map((record) => {
				remaining -= record.answer?.body.length ?? 0
				return remaining >= 0 ? record : { ...record, answer: undefined }
			})
			.reverse()
	}
}
