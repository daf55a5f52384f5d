/**
 * Limits the share of new jobs that are accepted while the leader's event loop is overloaded. Each
 * accepted job costs the leader a dozen messages, and more while it stays open, because its client
 * keeps asking for it. Without a limit an overloaded leader therefore falls further behind, until
 * it misses its own heartbeats and loses its lease.
 */
import { uniformHash } from '@rillrudder/utils'

/**
 * Target of the event loop's delay in milliseconds. A start passes the leader's loop about six
 * times, and all of them together may take a quarter of the 250 ms of an interactive job.
 */
const TARGET_DELAY_MS = 10
/** Relative increase of the accepted share in a period in which the loop is not delayed at all. */
const MAX_INCREASE = 0.25
/** Smallest factor that one decrease applies to the accepted share. */
const MIN_DECREASE_FACTOR = 0.7
/** Smallest accepted share, so that the end of an overload without other work is noticed. */
const MIN_SHARE = 0.1
/** Milliseconds after which a client may retry when nearly all jobs are accepted. */
const MIN_RETRY_AFTER_MS = 1000
/** Maximum of that delay in milliseconds. */
const MAX_RETRY_AFTER_MS = 4000

/**
 * Decides which new jobs are accepted.
 *
 * @internal
 */
export class AdmissionControl {
	private accepted = 1

	/** Share of the new jobs that are accepted. */
	get share(): number {
		return this.accepted
	}

	/** Milliseconds after which the client of a refused job may retry. */
	get retryAfter(): number {
		return Math.min(MAX_RETRY_AFTER_MS, Math.round(MIN_RETRY_AFTER_MS / this.accepted))
	}

	/**
	 * Updates the share after a period.
	 *
	 * @param delay - the event loop's delay in that period, in milliseconds.
	 */
	update(delay: number): void {
		this.accepted = Math.min(1, Math.max(MIN_SHARE, this.accepted * factorFor(delay)))
	}

	/**
	 * @returns whether a job is accepted. All tries of a job get the same answer while the share is
	 * the same. Were each try decided anew, most jobs would be accepted on a late try, and late.
	 */
	admits(id: string): boolean {
		return uniformHash(id) < this.accepted
	}
}

/** @returns the factor that a period with this delay applies to the accepted share. */
function factorFor(delay: number): number {
	return Math.max(MIN_DECREASE_FACTOR, 1 + MAX_INCREASE * (1 - delay / TARGET_DELAY_MS))
}
