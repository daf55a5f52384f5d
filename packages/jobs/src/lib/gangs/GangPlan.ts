/**
 * Plans one gang: the moment at which all its members have capacity and a valid ticket, and the
 * tickets that must be requested for that.
 */
import type { AdviceTerms } from '../records/Cell'

/**
 * Milliseconds for which tickets must be valid beyond the planned moment. They cover a pass over
 * the waiting steps and the decision.
 */
const TICKET_MARGIN_MS = 150
/**
 * Share of the ticket lifetime by which tickets arrive before the planned moment. Forecasts err
 * both ways: tickets are there if capacity is freed a little earlier, and most of their lifetime is
 * left if it is freed later.
 */
const ASK_AHEAD_SHARE = 0.3
/**
 * Spare places whose workers are asked about too, as a multiple of the gang size, so that a run
 * that ends late or a lost worker does not delay the gang. Naming one more worker is cheap compared
 * with another question.
 */
const SPARE_FACTOR = 1

/** Capacity for one member on a worker, now or later. @internal */
export interface Place {
	readonly worker: string
	/** When it is expected to be free, on the leader's clock. */
	readonly at: number
}

/** The requirements of a gang. @internal */
export interface GangNeed {
	/** The number of its members. */
	readonly members: number
	/** The current time, on the leader's clock. */
	readonly now: number
	/** Milliseconds after the arrival of a ticket during which a start may be decided with it. */
	readonly ticketLife: number
	/** The time that an answer takes. */
	readonly terms: AdviceTerms
	/** Whether a worker has a ticket that is valid at a moment. */
	readonly hasTicket: (worker: string, moment: number) => boolean
	/**
	 * Penalty of a slow or unreliable worker: milliseconds that the gang would rather wait than
	 * place a member there.
	 */
	readonly delayOf: (worker: string) => number
}

/** A plan to start a gang. @internal */
export interface GangPlan {
	/** One place for each member. */
	readonly places: readonly Place[]
	/** When all members are expected to start, on the leader's clock. */
	readonly at: number
	/** Workers to request tickets for; empty if the present tickets suffice. */
	readonly workersToAsk: readonly string[]
	/** When to request them, on the leader's clock; may lie in the past. */
	readonly askAt: number
}

/**
 * @param places - places on workers that may run the gang.
 * @param need - the requirements of the gang.
 * @returns the earlier of two plans, one with the present tickets and one with requested tickets;
 * undefined if there are not enough places.
 * @internal
 */
export function planGang(places: readonly Place[], need: GangNeed): GangPlan | undefined {
	const { members, now } = need
	if (places.length < members) return undefined
	const earliest = now + answerTime(1, need.terms)
	const ordered = sortPlaces(places, need, earliest)
	const fresh = planWithQuestion(ordered, need)
	const held = planWithTickets(ordered, need)
	return held && held.at <= fresh.at ? held : fresh
}

function planWithTickets(ordered: readonly Place[], need: GangNeed): GangPlan | undefined {
	const { members, now, hasTicket } = need
	const chosen = ordered
		.filter(({ worker, at }) => hasTicket(worker, at + TICKET_MARGIN_MS))
		.slice(0, members)
	if (chosen.length < members) return undefined
	const at = latestOf(chosen, now)
	const allHold = chosen.every(({ worker }) => hasTicket(worker, at + TICKET_MARGIN_MS))
	return allHold ? { places: chosen, at, workersToAsk: [], askAt: now } : undefined
}

function planWithQuestion(ordered: readonly Place[], need: GangNeed): GangPlan {
	const { members, now, ticketLife, terms, hasTicket } = need
	const chosen = ordered.slice(0, members)
	const spare = ordered.slice(members, members + Math.ceil(members * SPARE_FACTOR))
	const freeAt = latestOf(chosen, now)
	const named = new Set([...chosen, ...spare].map(({ worker }) => worker))
	const answer = answerTime(named.size, terms)
	const at = Math.max(freeAt, now + answer)
	const workersToAsk = [...named].filter((worker) => !hasTicket(worker, at + TICKET_MARGIN_MS))
	const askAt = at - answer - ticketLife * ASK_AHEAD_SHARE
	return { places: chosen, at, workersToAsk, askAt }
}

/** @returns the milliseconds that an answer about so many workers takes. */
function answerTime(workers: number, { base, each }: AdviceTerms): number {
	return base + each * workers
}

function latestOf(places: readonly Place[], now: number): number {
	return places.reduce((last, { at }) => Math.max(last, at), now)
}

/**
 * Sorts places by the time when they are free. Places that are free before any answer can arrive
 * count as equal. Among those, workers that can take many members go first: they keep the question
 * short, and the gang depends on fewer workers.
 */
function sortPlaces(places: readonly Place[], need: GangNeed, earliest: number): Place[] {
	const counts = new Map<string, number>()
	for (const { worker, at } of places) {
		if (at <= earliest) counts.set(worker, (counts.get(worker) ?? 0) + 1)
	}
	const keyed = places.map((place) => ({
		place,
		at: Math.max(place.at, earliest) + need.delayOf(place.worker),
		count: counts.get(place.worker) ?? 0,
	}))
	keyed.sort(
		(left, right) =>
			left.at - right.at ||
			right.count - left.count ||
			compareNames(left.place.worker, right.place.worker)
	)
	return keyed.map(({ place }) => place)
}

function compareNames(left: string, right: string): number {
	return left < right ? -1 : Number(left > right)
}
