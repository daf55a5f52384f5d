/**
 * Remembers refused submissions, so that no earlier try of the same call is accepted afterwards. A
 * try without an answer may still be in transit to this leader. If it arrives after the call was
 * refused, it gets the same refusal, so that an answer of "not run" stays true.
 */
import type { CallId, JobRefusal } from './calls'

/**
 * Milliseconds for which refusals are kept. Links without traffic for a second are closed and lose
 * the messages in transit, so a delayed try arrives well before this or not at all.
 */
const RETENTION_MS = 60_000
/** Maximum number of refusals that are kept; bounds their memory at about 10 MB. */
const MAX_REFUSALS = 50_000

interface RefusedCall {
	readonly refusal: JobRefusal
	readonly at: number
}

/**
 * The refused submissions of one leadership.
 *
 * @internal
 */
export class RefusedCalls {
	/** Refused calls by instance and number, oldest first. */
	private readonly refused = new Map<string, RefusedCall>()

	/**
	 * @param now - the time on the leader's clock, in milliseconds.
	 * @returns the refusal of a call; undefined if it was not refused or the refusal was evicted.
	 */
	find(call: CallId, now: number): JobRefusal | undefined {
		this.evictExpired(now)
		return this.refused.get(keyOf(call))?.refusal
	}

	/** Records the refusal of a call. */
	add(call: CallId, refusal: JobRefusal, now: number): void {
		this.evictExpired(now)
		this.refused.set(keyOf(call), { refusal, at: now })
	}

	private evictExpired(now: number): void {
		for (const [key, { at }] of this.refused) {
			if (now - at < RETENTION_MS && this.refused.size <= MAX_REFUSALS) return
			this.refused.delete(key)
		}
	}
}

function keyOf({ instance, number }: CallId): string {
	return `${instance} ${number}`
}
