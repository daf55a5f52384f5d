/**
 * Submissions that were refused, so that no earlier try of the same call is taken afterwards. A try that got no answer may still be on its way
 * to this leader: one that comes after its call was refused gets the same refusal, and so "not run" stays true.
 */
import type { CallId, JobRefusal } from './calls'

/** Milliseconds for which refusals are kept. Links that are silent for a second are closed, and what they held is lost with them. */
const RETENTION_MS = 60_000
/** Refusals that are kept at most; bounds the leader's memory at about 10 MB. */
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
	/** By instance and number, the oldest first. */
	private readonly refused = new Map<string, RefusedCall>()

	/**
	 * @param now - the moment, on the leader's clock.
	 * @returns how a call was refused; undefined when it was not.
	 */
	find(call: CallId, now: number): JobRefusal | undefined {
		this.evictExpired(now)
		return this.refused.get(keyOf(call))?.refusal
	}

	/** A call is refused. */
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
