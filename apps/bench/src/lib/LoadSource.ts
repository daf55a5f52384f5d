/** Open-loop callers: requests are due when they are due, and waiting for a late start counts. */
import { makeCall, type CallResult } from '@rillrudder/demo'
import { Random } from '@rillrudder/utils'
import { histogram, record } from './figures'

/** What to send. @public */
export interface Load {
	/** Requests a second. */
	readonly rate: number
	/** Milliseconds. */
	readonly span: number
	/** Share that is not repeatable. */
	readonly orderedShare: number
	readonly customers: number
	/** Callers' time in milliseconds. */
	readonly timeout: number
	readonly addresses: readonly string[]
	/** Path of the requests; direct calls to a worker use the same. */
	readonly path: string
}

/** An answered request. @public */
export interface Answered {
	readonly customer: string
	readonly key: string
	readonly ordered: boolean
	readonly outcome: string
	readonly status: number
	/** Monotonic milliseconds at which the answer was whole. */
	readonly at: number
}

/** What came of a load. @public */
export interface LoadResult {
	readonly repeatable: ReturnType<typeof histogram>
	readonly ordered: ReturnType<typeof histogram>
	readonly answered: Answered[]
	/** Answers of workers, a second. */
	readonly goodput: number
	readonly counts: { [outcome: string]: number }
}

let made = 0

/**
 * Sends a load.
 *
 * @param load - what to send.
 * @param seed - of the arrivals.
 * @param onEach - told of every answer as it comes.
 */
export async function sendLoad(
	load: Load,
	seed: number,
	onEach: (answered: Answered) => void = () => undefined
): Promise<LoadResult> {
	const random = new Random(seed)
	const result: LoadResult = {
		repeatable: histogram(),
		ordered: histogram(),
		answered: [],
		goodput: 0,
		counts: {},
	}
	const begun = performance.now()
	const waiting: Promise<void>[] = []
	let due = begun
	while (due < begun + load.span) {
		due += random.exponential(1000 / load.rate)
		const pause = due - performance.now()
		if (pause > 1) await new Promise((resolve) => setTimeout(resolve, pause))
		waiting.push(sendOne(load, random, due, result, onEach))
	}
	await Promise.all(waiting)
	const ran = result.answered.filter((one) => one.outcome === 'ran' || one.status === 200)
	const within = ran.filter((one) => one.at <= begun + load.span + load.timeout)
	return { ...result, goodput: within.length / (load.span / 1000) }
}

async function sendOne(
	load: Load,
	random: Random,
	due: number,
	result: LoadResult,
	onEach: (answered: Answered) => void
): Promise<void> {
	const ordered = random.chance(load.orderedShare)
	const customer = `customer-${random.integer(1, load.customers)}`
	const key = `b${++made}`
	const reply: CallResult = await makeCall(
		{
			address: random.pick(load.addresses),
			method: ordered ? 'POST' : 'GET',
			path: load.path,
			customer,
			key,
			body: ordered ? key : undefined,
			timeout: load.timeout,
		},
		() => performance.now()
	)
	const at = performance.now()
	const { outcome, status } = reply
	const one = { customer, key, ordered, outcome, status, at }
	result.answered.push(one)
	const name = outcome === '' ? (status === 200 ? 'ran' : 'no-answer') : outcome
	result.counts[name] = (result.counts[name] ?? 0) + 1
	if (status === 200) record(ordered ? result.ordered : result.repeatable, at - due)
	onEach(one)
}
