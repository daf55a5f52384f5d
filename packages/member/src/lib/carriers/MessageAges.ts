/**
 * How long messages of peers were held up on their way: in a process that stood still, or on a link that was cut. Two steady clocks have no common
 * start, so the least difference that was seen between the sender's and this one's stands for a message that was not held up.
 */
import type { SendTime } from '@rillrudder/protocol'

/** Share by which one steady clock may run faster than the other. */
const MOST_DRIFT = 0.01
/** Lives of one peer that are remembered: a message of an earlier one may come after it has started again. */
const LIVES_KEPT = 4

interface Quickest {
	/** Milliseconds between the sender's clock and this one's. */
	readonly difference: number
	/** When that was seen, on this clock. */
	readonly seenAt: number
}

/**
 * The ages of messages.
 *
 * @internal
 */
export class MessageAges {
	private readonly peers = new Map<string, Map<string, Quickest>>()

	/**
	 * A message has come.
	 *
	 * @param from - its sender.
	 * @param sent - when it was sent; absent where the sender does not tell.
	 * @param now - the moment, on this instance's clock.
	 * @returns milliseconds for which it was held up; 0 for the first message of a sender's life.
	 */
	took(from: string, sent: SendTime | undefined, now: number): number {
		if (!sent) return 0
		const lives = this.livesOf(from)
		const known = lives.get(sent.life)
		const difference = now - sent.at
		const least = known ? known.difference + (now - known.seenAt) * MOST_DRIFT : difference
		if (!known || difference <= least) lives.set(sent.life, { difference, seenAt: now })
		if (lives.size > LIVES_KEPT) lives.delete([...lives.keys()][0])
		return Math.max(0, difference - least)
	}

	private livesOf(peer: string): Map<string, Quickest> {
		const lives = this.peers.get(peer) ?? new Map<string, Quickest>()
		this.peers.set(peer, lives)
		return lives
	}
}
