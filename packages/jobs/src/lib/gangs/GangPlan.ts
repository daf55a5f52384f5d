/** The plan of one gang: the moment at which all its members have room and a ticket that holds, and what must be asked for that. */
import type { AdviceTerms } from '../records/Cell'

/** Milliseconds for which tickets have to hold beyond the planned moment: a pass over the waiting steps and the decision. */
const LEEWAY = 150
/**
 * Share of a ticket's life by which tickets come before the planned moment. Forecasts err both ways: room that comes a little earlier
 * finds the tickets there, and for room that comes later most of their life is left.
 */
const AHEAD = 0.3
/**
 * Further places whose workers are asked about too, as a multiple of the gang, so that a run that ends late or a worker that is lost doesn't hold
 * it up: naming a worker more costs little beside another question.
 */
const SPARE = 1
/** A place for one member, once it is free. @internal */
export interface Place {
	readonly worker: string
	/** When it is expected to be free, on the leader's clock. */
	readonly at: number
}

/** What a gang needs. @internal */
export interface GangNeed {
	/** How many members it has. */
	readonly members: number
	/** The moment, on the leader's clock. */
	readonly now: number
	/** Milliseconds for which a start may be decided with a ticket after it has come. */
	readonly ticketLife: number
	/** What an answer costs. */
	readonly terms: AdviceTerms
	/** Whether a worker's ticket holds at a moment. */
	readonly hasTicket: (worker: string, moment: number) => boolean
	/** Milliseconds that the gang rather waits than has a member on a worker: that one is slow, or is likely to go. */
	readonly delayOf: (worker: string) => number
}

/** A plan. @internal */
export interface GangPlan {
	/** One for each member. */
	readonly places: readonly Place[]
	/** When all members are expected to begin, on the leader's clock. */
	readonly at: number
	/** Workers whose tickets are to be asked for; none where those that are there will do. */
	readonly workersToAsk: readonly string[]
	/** When to ask, on the leader's clock; may have passed. */
	readonly askAt: number
}

/**
 * @param places - places on workers that may run the gang.
 * @param need - what it needs.
 * @returns the earlier one of two plans: with the tickets that are there, or with others that are asked for; undefined when there is no room for all.
 * @internal
 */
export function planGang(places: readonly Place[], need: GangNeed): GangPlan | undefined {
	const { members, now } = need
	if (places.length < members) return undefined
	const earliest = now + answerTime(1, need.terms)
	const ordered = inOrder(places, need, earliest)
	const fresh = planWithQuestion(ordered, need)
	const held = planWithTickets(ordered, need)
	return held && held.at <= fresh.at ? held : fresh
}

function planWithTickets(ordered: readonly Place[], need: GangNeed): GangPlan | undefined {
	const { members, now, hasTicket } = need
	const chosen = ordered
		.filter(({ worker, at }) => hasTicket(worker, at + LEEWAY))
		.slice(0, members)
	if (chosen.length < members) return undefined
	const at = lastOf(chosen, now)
	const allHold = chosen.every(({ worker }) => hasTicket(worker, at + LEEWAY))
	return allHold ? { places: chosen, at, workersToAsk: [], askAt: now } : undefined
}

function planWithQuestion(ordered: readonly Place[], need: GangNeed): GangPlan {
	const { members, now, ticketLife, terms, hasTicket } = need
	const chosen = ordered.slice(0, members)
	const spare = ordered.slice(members, members + Math.ceil(members * SPARE))
	const roomAt = lastOf(chosen, now)
	const named = new Set([...chosen, ...spare].map(({ worker }) => worker))
	const answer = answerTime(named.size, terms)
	const at = Math.max(roomAt, now + answer)
	const workersToAsk = [...named].filter((worker) => !hasTicket(worker, at + LEEWAY))
	const askAt = at - answer - ticketLife * AHEAD
	return { places: chosen, at, workersToAsk, askAt }
}

/** Milliseconds until an answer about so many workers. */
function answerTime(workers: number, { base, each }: AdviceTerms): number {
	return base + each * workers
}

function lastOf(places: readonly Place[], now: number): number {
	return places.reduce((last, { at }) => Math.max(last, at), now)
}

/**
 * Soonest first. What is free before any answer can come counts as equally soon; of that, workers that take many members go first: they make the
 * question short, and fewer workers can break the gang.
 */
function inOrder(places: readonly Place[], need: GangNeed, earliest: number): Place[] {
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
