/**
 * Until when a life of a worker was certainly there. A list proves it for the moment at which it was made; how long it took to come is not known,
 * but it was made after its poll was sent, and as long after an earlier list as the worker's clock says.
 */

/**
 * Milliseconds after a list was made for which the worker can't have started again and ended a run besides: tasks take longer than that, and
 * committing what the list told takes 10 to 40.
 */
const VALID_FOR_MS = 100

interface AliveReading {
	/** What the worker's clock showed. */
	readonly clock: number
	/** The earliest moment at which it can have shown that, on the leader's clock. */
	readonly at: number
}

/**
 * The proof that one life of a worker was there.
 *
 * @internal
 */
export class LivenessProof {
	private latest: AliveReading | undefined
	/** The shortest way to the worker and back that was seen, in milliseconds; a far worker's is long for every list. */
	private shortestRoundTrip = Number.POSITIVE_INFINITY

	/** Until when it was certainly there, on the leader's clock. */
	get aliveUntil(): number {
		return this.latest?.at ?? Number.NEGATIVE_INFINITY
	}

	/** @returns whether no other life can have ended anything by now. */
	isValid(now: number): boolean {
		return now - this.aliveUntil <= VALID_FOR_MS + this.shortestRoundTrip
	}

	/**
	 * A list of this life has come.
	 *
	 * @param clock - what the worker's clock showed when it made the list.
	 * @param sentAt - when the poll was sent, on the leader's clock.
	 * @param now - the moment.
	 */
	onList(clock: number, sentAt: number, now: number): void {
		this.shortestRoundTrip = Math.min(this.shortestRoundTrip, now - sentAt)
		const { latest } = this
		// The worker's clock may run slow and never fast: at least as much time has passed as it shows.
		const byClock = latest ? latest.at + (clock - latest.clock) : sentAt
		const at = Math.min(now, Math.max(sentAt, byClock))
		if (!latest || at > latest.at) this.latest = { clock, at }
	}
}
