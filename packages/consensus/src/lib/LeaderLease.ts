/**
 * A leader's lease: the time for which no other leader can be elected. It is measured from the moment
 * a heartbeat was sent, since the follower that answered cannot have heard it earlier.
 */
import { majorityValue } from './MembershipHistory'
import { leaseSpan, type Timing } from './Timing'

const ROUNDS_KEPT = 256

/**
 * Counts heartbeat rounds and works out how long the lease lasts.
 *
 * @public
 */
export class LeaderLease {
	private round = 0
	private readonly sentAt = new Map<number, number>()

	/** @param timing - the group's spans. */
	constructor(private readonly timing: Timing) {}

	/**
	 * @param now - the moment before the round's first message is sent.
	 * @returns the number of the new round.
	 */
	begin(now: number): number {
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

	/**
	 * @param answeredSince - for each voter the send time of the latest round it answered.
	 * @returns the moment at which the lease is over.
	 */
	end(answeredSince: number[]): number {
		if (answeredSince.length === 0) return Number.NEGATIVE_INFINITY
		return majorityValue(answeredSince) + leaseSpan(this.timing)
	}
}
