/** Calls between instances over their links: each gets one reply, or is abandoned. */
import type { CellCall, CellReply } from '@rillrudder/jobs'
import type { Event, LoadReport, PeerCall, PeerReply } from '@rillrudder/protocol'
import type { Clock, Timer } from '@rillrudder/utils'
import { decodeReply } from './messageBodies'

/** The outcome of a call to a peer. @internal */
export type PeerOutcome =
	| { readonly kind: 'replied'; readonly reply: CellReply }
	/** It was never sent. */
	| { readonly kind: 'not-sent' }
	/** It was sent, and no reply came in time or before the link was lost. */
	| { readonly kind: 'no-reply' }

/** Maximum number of pending calls; further ones are not sent. */
const MAX_PENDING_CALLS = 10_000

interface Pending {
	readonly peer: string
	readonly timer: Timer
	readonly done: (outcome: PeerOutcome) => void
}

/** Destination of a call. @internal */
export interface PeerDestination {
	readonly peer: string
	/** Term of the leader that the call is meant for; 0 for any instance. */
	readonly term: number
	readonly hops: number
}

/**
 * The calls of one instance to its peers.
 *
 * @internal
 */
export class PeerCalls {
	private readonly pending = new Map<number, Pending>()
	private lastId = 0

	/**
	 * @param clock - for timeouts.
	 * @param send - sends an event to a peer; returns false when it was certainly not sent.
	 */
	constructor(
		private readonly clock: Clock,
		private readonly send: (peer: string, event: Event) => boolean
	) {}

	/**
	 * Makes a call.
	 *
	 * @param limit - timeout in milliseconds.
	 * @param done - called exactly once.
	 */
	call(
		to: PeerDestination,
		call: CellCall,
		limit: number,
		done: (outcome: PeerOutcome) => void
	): void {
		this.callEncoded(to, Buffer.from(JSON.stringify(call)), limit, done)
	}

	/** Makes a call that is already encoded. */
	callEncoded(
		{ peer, term, hops }: PeerDestination,
		body: Buffer,
		limit: number,
		done: (outcome: PeerOutcome) => void
	): void {
		const id = ++this.lastId
		const value: PeerCall = { id, body, hops, term }
		const full = this.pending.size >= MAX_PENDING_CALLS
		if (full || !this.send(peer, { body: { $case: 'peerCall', value } })) {
			done({ kind: 'not-sent' })
			return
		}
		const timer = this.clock.after(limit, () => this.settle(id, { kind: 'no-reply' }))
		this.pending.set(id, { peer, timer, done })
	}

	/** Sends the reply to a peer's call, with the load of this instance where the peer may use it. */
	reply(peer: string, id: number, reply: CellReply, load?: LoadReport): void {
		const value: PeerReply = { id, body: Buffer.from(JSON.stringify(reply)), load }
		// A reply that can't be sent times out at the peer, which calls again.
		this.send(peer, { body: { $case: 'peerReply', value } })
	}

	/** Handles a peer's reply. */
	onReply({ id, body }: PeerReply): void {
		const reply = decodeReply(body)
		this.settle(id, reply ? { kind: 'replied', reply } : { kind: 'no-reply' })
	}

	/** Ends the calls over a lost link: they get no reply any more. */
	onLinkLost(peer: string): void {
		for (const [id, pending] of this.pending) {
			if (pending.peer === peer) this.settle(id, { kind: 'no-reply' })
		}
	}

	private settle(id: number, outcome: PeerOutcome): void {
		const pending = this.pending.get(id)
		if (!pending) return
		this.pending.delete(id)
		pending.timer.cancel()
		pending.done(outcome)
	}
}
