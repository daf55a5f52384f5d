/**
 * Notices that a data centre can't be reached before each of its workers has failed to answer: as soon as some
 * of them are silent, the others count as suspect until they have answered a call that was sent after that.
 */

/** One silent worker of so many is enough; a larger data centre often has one whose answer was lost. */
const WORKERS_PER_MISS = 16
/** Milliseconds for which a silent worker counts, and for which a suspicion lasts. */
const SUSPICION_MS = 2000
/** Milliseconds for which further failures raise no new suspicion, since each one costs a call to each worker. */
const SUSPICION_INTERVAL_MS = 300

interface Outage {
	/** For each silent worker when it was found so. */
	readonly silent: Map<string, number>
	suspectedAt: number
}

/**
 * Failures to answer, by data centre.
 *
 * @internal
 */
export class OutageDetector {
	private readonly outages = new Map<string, Outage>()

	/**
	 * A worker that had answered before was found silent.
	 *
	 * @param workers - how many workers its data centre has.
	 */
	onMissedCall(dataCentre: string, worker: string, workers: number, now: number): void {
		const outage = this.outages.get(dataCentre) ?? { silent: new Map(), suspectedAt: -Infinity }
		this.outages.set(dataCentre, outage)
		const { silent } = outage
		silent.set(worker, now)
		for (const [other, since] of silent) if (now - since > SUSPICION_MS) silent.delete(other)
		const enough = silent.size >= Math.ceil(workers / WORKERS_PER_MISS)
		if (enough && now - outage.suspectedAt >= SUSPICION_INTERVAL_MS) outage.suspectedAt = now
	}

	/** A worker has answered. */
	onAnswered(dataCentre: string, worker: string): void {
		this.outages.get(dataCentre)?.silent.delete(worker)
	}

	/**
	 * @returns the moment since which workers of the data centre must have answered to count as
	 * reachable; undefined when there is no reason for suspicion.
	 */
	suspectSince(dataCentre: string, now: number): number | undefined {
		const since = this.outages.get(dataCentre)?.suspectedAt
		return since !== undefined && now - since <= SUSPICION_MS ? since : undefined
	}
}
