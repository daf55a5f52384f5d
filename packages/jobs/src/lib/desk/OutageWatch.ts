/**
 * Notices that a data centre can't be reached before each of its workers has failed to answer: when
 * several did not answer calls of the last moments, the others count as doubtful until they do.
 */

/** Workers of one data centre that must have failed to answer. */
const LEAST_MISSES = 2
/** Milliseconds for which a failure counts. */
const KEPT = 2000

/**
 * Failures to answer, by data centre.
 *
 * @internal
 */
export class OutageWatch {
	/** For each data centre, when the unanswered call of each worker was sent. */
	private readonly misses = new Map<string, Map<string, number>>()

	/** A call that was sent at this moment got no answer. */
	missed(dataCentre: string, worker: string, sentAt: number): void {
		const misses = this.misses.get(dataCentre) ?? new Map<string, number>()
		misses.set(worker, sentAt)
		this.misses.set(dataCentre, misses)
	}

	/** A worker has answered. */
	answered(dataCentre: string, worker: string): void {
		this.misses.get(dataCentre)?.delete(worker)
	}

	/**
	 * @returns the moment since which workers of the data centre must have answered to count as
	 * reachable; undefined when there is no reason for doubt.
	 */
	doubtfulSince(dataCentre: string, now: number): number | undefined {
		const misses = this.misses.get(dataCentre)
		if (!misses) return undefined
		let count = 0
		let earliest = Number.POSITIVE_INFINITY
		for (const [worker, sentAt] of misses) {
			if (now - sentAt > KEPT) {
				misses.delete(worker)
				continue
			}
			count += 1
			earliest = Math.min(earliest, sentAt)
		}
		return count >= LEAST_MISSES ? earliest : undefined
	}
}
