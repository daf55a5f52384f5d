/**
 * Estimates how long messages of peers were delayed, in a process that stalled or on a link that
 * was cut. Two monotonic clocks have no common origin, so the smallest offset seen between the
 * sender's clock and this one stands for a message without delay.
 */
import type { SendTime } from '@rillrudder/protocol'

/** Fraction by which one monotonic clock may run faster than the other. */
const MAX_CLOCK_DRIFT = 0.01
/**
 * Remembered incarnations of a peer: a message of an earlier one may arrive after the peer has
 * restarted.
 */
const MAX_INCARNATIONS = 4

interface SmallestOffset {
	/** Milliseconds by which this clock is ahead of the sender's, transit included. */
	readonly offset: number
	/** When it was observed, on this clock. */
	readonly seenAt: number
}

/**
 * Estimates the delays of messages.
 *
 * @internal
 */
export class MessageDelays {
	private readonly peers = new Map<string, Map<string, SmallestOffset>>()

	/**
	 * Records the arrival of a message.
	 *
	 * @param from - the sender.
	 * @param sent - when it was sent; undefined if the sender does not report it.
	 * @param now - the time of arrival, on this instance's clock.
	 * @returns the delay in milliseconds; 0 for the first message of a sender's incarnation.
	 */
	observe(from: string, sent: SendTime | undefined, now: number): number {
		if (!sent) return 0
		const incarnations = this.incarnationsOf(from)
		const smallest = incarnations.get(sent.life)
		const offset = now - sent.at
		const expected = smallest ? smallest.offset + (now - smallest.seenAt) * MAX_CLOCK_DRIFT : offset
		if (!smallest || offset <= expected) incarnations.set(sent.life, { offset, seenAt: now })
		if (incarnations.size > MAX_INCARNATIONS) incarnations.delete([...incarnations.keys()][0])
		return Math.max(0, offset - expected)
	}

	private incarnationsOf(peer: string): Map<string, SmallestOffset> {
		const incarnations = this.peers.get(peer) ?? new Map<string, SmallestOffset>()
		this.peers.set(peer, incarnations)
		return incarnations
	}
}
