/**
 * How long messages of peers were held up on their way: in a process that stood still, or on a link that was cut. Two steady clocks have no common
 * start, so the least difference that was seen between the sender's and this one's stands for a message that was not held up.
 */
import type { SendTime } from '@rillrudder/protocol'

/** Share by which one steady clock may run faster than the other. */
const MAX_CLOCK_DRIFT = 0.01
/** Lives of one peer that are remembered: a message of an earlier one may come after it has started again. */
const MAX_INCARNATIONS = 4

interface SmallestOffset {
	/** Milliseconds between the sender's clock and this one's. */
	readonly offset: number
	/** When that was seen, on this clock. */
	readonly seenAt: number
}

/**
 * The ages of messages.
 *
 * @internal
 */
export class MessageDelays {
	private readonly peers = new Map<string, Map<string, SmallestOffset>>()

	/**
	 * A message has come.
	 *
	 * @param from - its sender.
	 * @param sent - when it was sent; absent where the sender does not tell.
	 * @param now - the moment, on this instance's clock.
	 * @returns milliseconds for which it was held up; 0 for the first message of a sender's life.
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
