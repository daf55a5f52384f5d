/**
 * Tracks until when an incarnation of a worker was certainly alive. A list of its runs proves that
 * for the moment at which it was made. How long the list was in transit is unknown, but it was made
 * after its poll was sent, and as long after an earlier list as the worker's clock shows.
 */

/**
 * Time after a list was made within which the worker can't have restarted and also ended a run:
 * tasks take longer than that, and committing what the list reported takes 10 to 40 ms.
 */
const VALID_FOR_MS = 100

interface AliveReading {
	/** Reading of the worker's clock. */
	readonly clock: number
	/** The earliest moment of that reading on the leader's clock. */
	readonly at: number
}

/**
 * Proof that one incarnation of a worker was alive.
 *
 * @internal
 */
export class LivenessProof {
	private latest: AliveReading | undefined
	/**
	 * Shortest round trip to the worker so far, in milliseconds; to a distant worker every one is
	 * long.
	 */
	private shortestRoundTrip = Number.POSITIVE_INFINITY

	/** Until when the incarnation was certainly alive, on the leader's clock. */
	get aliveUntil(): number {
		return this.latest?.at ?? Number.NEGATIVE_INFINITY
	}

	/** @returns whether no other incarnation can have ended a run by `now`. */
	isValid(now: number): boolean {
		return now - this.aliveUntil <= VALID_FOR_MS + this.shortestRoundTrip
	}

	/**
	 * A list of this incarnation has arrived.
	 *
	 * @param clock - reading of the worker's clock when it made the list.
	 * @param sentAt - when the poll was sent, on the leader's clock.
	 * @param now - the current time on the leader's clock.
	 */
	onList(clock: number, sentAt: number, now: number): void {
		this.shortestRoundTrip = Math.min(this.shortestRoundTrip, now - sentAt)
		const { latest } = this
		// The worker's clock may run slow but never fast, so at least as much time has passed as it
		// shows.
		const byClock = latest ? latest.at + (clock - latest.clock) : sentAt
		const at = Math.min(now, Math.max(sentAt, byClock))
		if (!latest || at > latest.at) this.latest = { clock, at }
	}
}
