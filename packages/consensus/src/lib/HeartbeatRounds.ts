/**
 * When a leader sent each of its rounds of heartbeats. Its lease is measured from there, since the follower that answered
 * cannot have heard it earlier.
 */

/** Rounds that may still be answered; at one every 50 ms those of 12 s. */
const ROUNDS_KEPT = 256

/**
 * The rounds of heartbeats of a leadership.
 *
 * @public
 */
export class HeartbeatRounds {
	private round = 0
	private readonly sentAt = new Map<number, number>()

	/**
	 * @param now - the moment before the round's first message is sent.
	 * @returns the number of the new round.
	 */
	start(now: number): number {
		this.round += 1
		this.sentAt.set(this.round, now)
		this.sentAt.delete(this.round - ROUNDS_KEPT)
		return this.round
	}

	/**
	 * @param round - a round that a peer answered.
	 * @returns when it was sent; undefined when that is no longer known.
	 */
	sendTime(round: number): number | undefined {
		return this.sentAt.get(round)
	}
}
