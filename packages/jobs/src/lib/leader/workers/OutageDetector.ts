/**
 * Detects that a data centre is unreachable before each of its workers has failed to answer: as soon as some of
 * them do not answer, the others count as suspect until they answer a call.
 */

/** One unreachable worker per this many raises suspicion; a larger data centre often has one whose answer was lost. */
const WORKERS_PER_MISS = 16
/** How long an unreachable worker counts, and how long a suspicion lasts. */
const SUSPICION_MS = 2000
/** Shortest time between two suspicions, since each one costs a call to every worker. */
const SUSPICION_INTERVAL_MS = 300

interface Outage {
	/** For each unreachable worker, when that was found. */
	readonly silent: Map<string, number>
	suspectedAt: number
}

/**
 * Tracks unanswered calls by data centre.
 *
 * @internal
 */
export class OutageDetector {
	private readonly outages = new Map<string, Outage>()

	/**
	 * A worker did not answer a call.
	 *
	 * @param workers - number of workers in its data centre.
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
	 * @returns the time since which workers of the data centre must have answered to count as reachable; undefined
	 *   when the data centre is not suspected.
	 */
	suspectSince(dataCentre: string, now: number): number | undefined {
		const since = this.outages.get(dataCentre)?.suspectedAt
		return since !== undefined && now - since <= SUSPICION_MS ? since : undefined
	}
}
