/** Polls workers for the outcome of attempts without a known result, until a reply or a deadline. */
import type { DataCentreState } from '../state/DataCentreState'
import { RequestPhase, type RequestRecord } from '../state/RequestTable'
import type { Effects } from './Effects'
import { addDriftMargin, SETTLE_TIMEOUT_MS, START_WINDOW_MS } from './timing'

const SETTLE_INTERVAL_MS = 500
/** How long a worker that keeps reporting `running` can extend the deadline, in milliseconds. */
const MAX_EXTENSION_MS = 30_000

interface UnresolvedAttempt {
	readonly record: RequestRecord
	readonly fence: number
	deadline: number
	/** The deadline is never extended beyond this. */
	readonly maxDeadline: number
	nextSettleAt: number
}

/**
 * Attempts whose outcome is unknown.
 *
 * @internal
 */
export class UnresolvedAttempts {
	private readonly attempts = new Map<string, UnresolvedAttempt>()

	constructor(
		private readonly state: DataCentreState,
		private readonly effects: Effects
	) {}

	/** Whether the outcome of a request's current attempt is unknown. */
	has(record: RequestRecord): boolean {
		return this.attempts.get(formatRequestId(record))?.fence === record.fence
	}

	/**
	 * Adds an attempt whose holder is lost. The attempt may still run until the start window and the
	 * request's timeout have passed on the holder's clock.
	 */
	addAfterHolderLoss(record: RequestRecord, now: number): void {
		this.add(record, now, addDriftMargin(START_WINDOW_MS + record.timeout) + SETTLE_TIMEOUT_MS)
	}

	/** Adds an attempt that its holder has abandoned, closing the connection to the worker. */
	addAfterMissingAnswer(record: RequestRecord, now: number): void {
		this.add(record, now, SETTLE_TIMEOUT_MS)
	}

	private add(record: RequestRecord, now: number, durationMs: number): void {
		if (this.has(record)) return
		const deadline = now + durationMs
		const maxDeadline = deadline + MAX_EXTENSION_MS
		const { fence } = record
		this.attempts.set(formatRequestId(record), {
			record,
			fence,
			deadline,
			maxDeadline,
			nextSettleAt: now,
		})
	}

	/** Extends the deadline of an attempt that its worker reports as running. */
	extend(record: RequestRecord, now: number): void {
		const attempt = this.attempts.get(formatRequestId(record))
		if (attempt)
			attempt.deadline = Math.max(
				attempt.deadline,
				Math.min(attempt.maxDeadline, now + SETTLE_TIMEOUT_MS)
			)
	}

	remove(record: RequestRecord): void {
		this.attempts.delete(formatRequestId(record))
	}

	clear(): void {
		this.attempts.clear()
	}

	/**
	 * Sends settle calls that are due.
	 *
	 * @returns the requests whose attempts have passed their deadline.
	 */
	tick(now: number): RequestRecord[] {
		const expired: RequestRecord[] = []
		for (const [name, attempt] of this.attempts) {
			const { record } = attempt
			if (record.phase !== RequestPhase.Started || record.fence !== attempt.fence)
				this.attempts.delete(name)
			else if (now >= attempt.deadline) expired.push(record)
			else if (now >= attempt.nextSettleAt) this.settle(attempt, now)
		}
		return expired
	}

	private settle(attempt: UnresolvedAttempt, now: number): void {
		attempt.nextSettleAt = now + SETTLE_INTERVAL_MS
		const { customer, key, worker } = attempt.record
		const address = this.state.workers.find(worker)?.address
		if (address === undefined) return
		this.effects.settleCalls.push({ worker, address, customer, key, fence: attempt.fence })
	}
}

function formatRequestId(record: RequestRecord): string {
	return `${record.customer}\n${record.key}`
}
