/**
 * Send times of a leader's heartbeat rounds. The lease is measured from the send time, since the
 * follower that answered cannot have received the heartbeat earlier.
 */

/** Rounds whose send time is kept for late answers: 12 s at one round every 50 ms. */
const ROUNDS_KEPT = 256

/**
 * The heartbeat rounds of one leadership.
 *
 * @public
 */
export class HeartbeatRounds {
	private round = 0
	private readonly sentAt = new Map<number, number>()

	/**
	 * Starts a round.
	 *
	 * @param now - the time before the round's first message is sent.
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
	 * @returns when it was sent; undefined when the send time is no longer kept.
	 */
	sendTime(round: number): number | undefined {
		return this.sentAt.get(round)
	}
}
