/**
 * Notices that a data centre can't be reached before each of its workers has failed to answer: as soon as one
 * has, the others count as doubtful until they have answered a call that was sent after that.
 */

/** Milliseconds for which a failure casts doubt on the others. */
const KEPT = 2000
/** Milliseconds for which further failures cast no new doubt, since every doubt costs a call to each worker. */
const PAUSE = 300

/**
 * Failures to answer, by data centre.
 *
 * @internal
 */
export class OutageWatch {
	private readonly doubtedAt = new Map<string, number>()

	/** A worker that had answered before was found not to answer. */
	missed(dataCentre: string, now: number): void {
		if (now - (this.doubtedAt.get(dataCentre) ?? Number.NEGATIVE_INFINITY) < PAUSE) return
		this.doubtedAt.set(dataCentre, now)
	}

	/**
	 * @returns the moment since which workers of the data centre must have answered to count as
	 * reachable; undefined when there is no reason for doubt.
	 */
	doubtfulSince(dataCentre: string, now: number): number | undefined {
		const since = this.doubtedAt.get(dataCentre)
		return since !== undefined && now - since <= KEPT ? since : undefined
	}
}
