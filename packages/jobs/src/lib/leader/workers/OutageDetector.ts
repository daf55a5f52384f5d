/**
 * Detects that a data centre is unreachable before each of its workers has failed to answer: as
 * soon as some of them do not answer, the others count as suspect until they answer a call.
 */

/**
 * One unreachable worker per this many raises suspicion; a larger data centre often has one whose
 * answer was lost.
 */
const WORKERS_PER_UNREACHABLE = 16
/** How long an unreachable worker counts, and how long a suspicion lasts. */
const SUSPICION_MS = 2000
/** Shortest time between two suspicions, since each one costs a call to every worker. */
const SUSPICION_INTERVAL_MS = 300

interface Outage {
	/** For each unreachable worker, when that was found. */
	readonly unreachable: Map<string, number>
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
		const outage = this.outages.get(dataCentre) ?? {
			unreachable: new Map(),
			suspectedAt: -Infinity,
		}
		this.outages.set(dataCentre, outage)
		const { unreachable } = outage
		unreachable.set(worker, now)
		for (const [other, foundAt] of unreachable)
			if (now - foundAt > SUSPICION_MS) unreachable.delete(other)
		const isSuspect = unreachable.size >= Math.ceil(workers / WORKERS_PER_UNREACHABLE)
		if (isSuspect && now - outage.suspectedAt >= SUSPICION_INTERVAL_MS) outage.suspectedAt = now
	}

	/** A worker has answered. */
	onAnswered(dataCentre: string, worker: string): void {
		this.outages.get(dataCentre)?.unreachable.delete(worker)
	}

	/**
	 * @returns the time since which workers of the data centre must have answered to count as
	 * reachable; undefined when the data centre is not suspected.
	 */
	suspectSince(dataCentre: string, now: number): number | undefined {
		const suspectedSince = this.outages.get(dataCentre)?.suspectedAt
		return suspectedSince !== undefined && now - suspectedSince <= SUSPICION_MS
			? suspectedSince
			: undefined
	}
}
