/**
 * Relays calls of entry instances to the leader, in batches. A message costs the leader far more
 * than a call in it, and it has a link to every entry instance but few to members of the core.
 */
import type { CellReply } from '@rillrudder/jobs'
import type { PeerCall } from '@rillrudder/protocol'
import type { Clock, Timer } from '@rillrudder/utils'
import type { PeerCalls, PeerOutcome } from './PeerCalls'

/**
 * Milliseconds for which calls are batched after the previous message, as for orders. The first one
 * is sent at once.
 */
const BATCH_DELAY_MS = 8
/** Timeout of a relayed call in milliseconds. */
const RELAY_TIMEOUT_MS = 1200

interface RelayedCall {
	readonly leader: string
	readonly call: PeerCall
	readonly reply: (reply: CellReply) => void
}

/**
 * Relays calls to the leader.
 *
 * @internal
 */
export class CallRelay {
	private waiting: RelayedCall[] = []
	private sentAt = Number.NEGATIVE_INFINITY
	/** Set while calls wait to be sent. */
	private timer: Timer | undefined

	/**
	 * @param calls - sends calls to peers; those of one turn go in one message.
	 * @param clock - for batching.
	 */
	constructor(
		private readonly calls: Pick<PeerCalls, 'callEncoded'>,
		private readonly clock: Clock
	) {}

	/** Relays a call. @param reply - called exactly once. */
	relay(leader: string, call: PeerCall, reply: (reply: CellReply) => void): void {
		this.waiting.push({ leader, call, reply })
		const delay = this.sentAt + BATCH_DELAY_MS - this.clock.now()
		this.timer ??= this.clock.after(Math.max(0, delay), () => this.flush())
	}

	private flush(): void {
		const { waiting } = this
		this.waiting = []
		this.timer = undefined
		this.sentAt = this.clock.now()
		for (const one of waiting) this.send(one)
	}

	private send({ leader, call: { body, hops, term }, reply }: RelayedCall): void {
		const to = { peer: leader, term, hops: hops + 1 }
		this.calls.callEncoded(to, body, RELAY_TIMEOUT_MS, (outcome) => reply(replyOf(outcome)))
	}
}

function replyOf(outcome: PeerOutcome): CellReply {
	switch (outcome.kind) {
		case 'replied':
			return outcome.reply
		case 'not-sent':
			return { kind: 'not-leader' }
		case 'no-reply':
			return { kind: 'unknown', reason: 'the leader did not answer' }
	}
}
