/** Attempts that nobody has answered for: their workers are asked until they say, or until time is up. */
import type { DataCentreState } from '../state/DataCentreState'
import { Phase, type RequestRecord } from '../state/RequestTable'
import type { Effects } from './Effects'
import { addDriftMargin, SETTLE_TIMEOUT_MS, START_WINDOW_MS } from './timing'

const ASK_EVERY = 500
/** A worker that goes on saying that it is at work is believed for so long, in milliseconds. */
const MOST_DOUBT = 30_000

interface Doubt {
	readonly record: RequestRecord
	readonly fence: number
	until: number
	/** Nothing extends the doubt beyond this. */
	readonly last: number
	askAt: number
}

/**
 * Attempts in doubt.
 *
 * @internal
 */
export class SuspectWorkers {
	private readonly doubts = new Map<string, Doubt>()

	constructor(
		private readonly state: DataCentreState,
		private readonly effects: Effects
	) {}

	/** Whether an attempt is in doubt. */
	has(record: RequestRecord): boolean {
		return this.doubts.get(nameOf(record))?.fence === record.fence
	}

	/** The holder is gone: the attempt may go on for as long as it could have been allowed to. */
	abandoned(record: RequestRecord, now: number): void {
		this.add(record, now, addDriftMargin(START_WINDOW_MS + record.timeout) + SETTLE_TIMEOUT_MS)
	}

	/** The holder has given the attempt up and closed its connection. */
	lost(record: RequestRecord, now: number): void {
		this.add(record, now, SETTLE_TIMEOUT_MS)
	}

	private add(record: RequestRecord, now: number, span: number): void {
		if (this.has(record)) return
		const until = now + span
		const last = until + MOST_DOUBT
		const { fence } = record
		this.doubts.set(nameOf(record), { record, fence, until, last, askAt: now })
	}

	/** The worker is still at work on it. */
	extend(record: RequestRecord, now: number): void {
		const doubt = this.doubts.get(nameOf(record))
		if (doubt) doubt.until = Math.max(doubt.until, Math.min(doubt.last, now + SETTLE_TIMEOUT_MS))
	}

	remove(record: RequestRecord): void {
		this.doubts.delete(nameOf(record))
	}

	clear(): void {
		this.doubts.clear()
	}

	/** Asks again where it is time. @returns the attempts for which time is up. */
	tick(now: number): RequestRecord[] {
		const over: RequestRecord[] = []
		for (const [name, doubt] of this.doubts) {
			const { record } = doubt
			if (record.phase !== Phase.Started || record.fence !== doubt.fence) this.doubts.delete(name)
			else if (now >= doubt.until) over.push(record)
			else if (now >= doubt.askAt) this.ask(doubt, now)
		}
		return over
	}

	private ask(doubt: Doubt, now: number): void {
		doubt.askAt = now + ASK_EVERY
		const { customer, key, worker } = doubt.record
		const address = this.state.workers.find(worker)?.address
		if (address === undefined) return
		this.effects.settles.push({ worker, address, customer, key, fence: doubt.fence })
	}
}

function nameOf(record: RequestRecord): string {
	return `${record.customer}\n${record.key}`
}
