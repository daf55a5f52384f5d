/**
 * Brings calls to whoever leads. Every call may be sent again, since its effect is named by an id, a
 * version or a sequence; so a call whose leader is lost goes to the next one, within its patience.
 */
import type { CellCall, CellReply } from '@rillrudder/jobs'
import { Measure, type Meter } from '@rillrudder/telemetry'
import type { Clock } from '@rillrudder/utils'
import type { KnownLeader } from './LeaderView'
import type { PeerCalls, PeerOutcome } from './PeerCalls'

/** Milliseconds between two tries. */
const RETRY_PAUSE = 50
/** Milliseconds that one try may take; a commit behind a slow disk takes hundreds. */
const TRY_LIMIT = 800
/** Milliseconds from which an answered call is told as slow. */
const SLOW = 300
/** Milliseconds after which a call that was not run may come again. */
const RETRY_AFTER = 1000

/** How long a call is tried. @public */
export interface Finality {
	/**
	 * Milliseconds without a leader after which it is given up, counted from when the instance last
	 * knew one: a change of leader takes less, so an instance without one for longer is cut off.
	 */
	readonly patience: number
	/** Milliseconds for which it is tried at all. */
	readonly limit: number
}

/** What calls need of the instance. @internal */
export interface LeaderCallsParts {
	readonly clock: Clock
	readonly calls: PeerCalls
	readonly meter: Meter
	/** Who leads now. */
	readonly leader: () => KnownLeader | undefined
	/** Told of a call that was not answered well, or late. */
	readonly slow?: (call: CellCall, reply: CellReply, took: number, tries: number) => void
	/** Answers a call here, when this instance leads. @returns false when it does not. */
	readonly local?: (call: CellCall, done: (reply: CellReply) => void) => boolean
}

interface Attempt {
	readonly call: CellCall
	readonly startedAt: number
	readonly finality: Finality
	readonly done: (reply: CellReply) => void
	/** Whether some instance may have done it. */
	sent: boolean
	tries: number
}

/**
 * Brings calls to whoever leads.
 *
 * @internal
 */
export class LeaderCalls {
	/** When a leader was last known, on the instance's clock. */
	private ledAt: number

	constructor(private readonly parts: LeaderCallsParts) {
		this.ledAt = parts.clock.now()
	}

	/** Notes that a leader is known now. */
	led(): void {
		this.ledAt = this.parts.clock.now()
	}

	/** Makes a call; it is replied to exactly once. */
	call(call: CellCall, finality: Finality): Promise<CellReply> {
		const { clock } = this.parts
		return new Promise((resolve) => {
			const startedAt = clock.now()
			const done = (reply: CellReply): void => {
				this.tell(attempt, reply)
				resolve(reply)
			}
			const attempt = { call, startedAt, finality, done, sent: false, tries: 0 }
			this.attempt(attempt)
		})
	}

	private tell({ call, startedAt, tries }: Attempt, reply: CellReply): void {
		const took = this.parts.clock.now() - startedAt
		this.parts.meter.count(Measure.Calls, { kind: call.kind, outcome: reply.kind })
		this.parts.meter.observe(Measure.CallTime, took, { kind: call.kind })
		const failed = reply.kind === 'not-run' || reply.kind === 'unknown'
		if (failed || took > SLOW) this.parts.slow?.(call, reply, took, tries)
	}

	private attempt(attempt: Attempt): void {
		const { local, leader, calls } = this.parts
		let settled = false
		const replied = (reply: CellReply): void => {
			if (settled) return
			settled = true
			this.replied(attempt, reply)
		}
		if (local?.(attempt.call, replied)) {
			attempt.sent = true
			this.parts.clock.after(this.left(attempt), () =>
				replied({ kind: 'unknown', reason: 'not committed in time' })
			)
			return
		}
		const known = leader()
		if (known) this.led()
		if (!known || known.via.length === 0) {
			this.again(attempt)
			return
		}
		const peer = known.via[attempt.tries++ % known.via.length]
		const to = { peer, term: known.term, hops: 0 }
		const limit = Math.min(TRY_LIMIT, this.left(attempt))
		calls.call(to, attempt.call, limit, (outcome) => this.outcome(attempt, outcome))
	}

	private outcome(attempt: Attempt, outcome: PeerOutcome): void {
		if (outcome.kind === 'replied') {
			this.replied(attempt, outcome.reply)
			return
		}
		if (outcome.kind === 'no-reply') attempt.sent = true
		this.again(attempt)
	}

	private replied(attempt: Attempt, reply: CellReply): void {
		if (reply.kind === 'unknown') {
			attempt.sent = true
			this.again(attempt)
		} else if (reply.kind === 'not-leader') {
			this.again(attempt)
		} else if (attempt.sent && isRefusedJob(attempt.call, reply)) {
			attempt.done({ kind: 'unknown', reason: `${reply.kind} after a try without an answer` })
		} else {
			attempt.done(reply)
		}
	}

	private again(attempt: Attempt): void {
		const { clock } = this.parts
		const now = clock.now()
		const { patience, limit } = attempt.finality
		const leaderless = now - this.ledAt + RETRY_PAUSE > patience
		const late = now - attempt.startedAt + RETRY_PAUSE > limit
		if (!leaderless && !late) clock.after(RETRY_PAUSE, () => this.attempt(attempt))
		else if (attempt.sent) attempt.done({ kind: 'unknown', reason: 'no answer from a leader' })
		else attempt.done({ kind: 'not-run', reason: 'no leader', retryAfter: RETRY_AFTER })
	}

	private left(attempt: Attempt): number {
		const spent = this.parts.clock.now() - attempt.startedAt
		return Math.max(RETRY_PAUSE, attempt.finality.limit - spent)
	}
}

/**
 * Whether a reply says that a job was not taken. After a try without an answer that is not known: it may have been taken
 * then, and its key, queue or quota changed since.
 */
function isRefusedJob(call: CellCall, { kind }: CellReply): boolean {
	if (call.kind !== 'submit') return false
	switch (kind) {
		case 'unauthorized':
		case 'no-such-queue':
		case 'id-taken':
		case 'impossible':
		case 'not-run':
			return true
		default:
			return false
	}
}
