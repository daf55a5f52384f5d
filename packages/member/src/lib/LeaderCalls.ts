/**
 * Brings calls to whoever leads. Every call may be sent again, since its effect is named by an id, a
 * version or a sequence; so a call whose leader is lost goes to the next one, within its patience.
 */
import { isJobRefusal, type CellCall, type CellReply, type JobRefusal } from '@rillrudder/jobs'
import { Measure, type Meter } from '@rillrudder/telemetry'
import type { Clock } from '@rillrudder/utils'
import type { KnownLeader } from './LeaderView'
import type { PeerCalls, PeerOutcome } from './PeerCalls'

/** Milliseconds between two tries. */
const RETRY_INTERVAL_MS = 50
/** Milliseconds that one try may take; a commit behind a slow disk takes hundreds. */
const TRY_TIMEOUT_MS = 800
/** Milliseconds from which an answered call is told as slow. */
const SLOW_CALL_MS = 300
/** Milliseconds after which a call that was not run may come again. */
const RETRY_AFTER_MS = 1000

/** How long a call is tried. @public */
export interface RetryLimits {
	/**
	 * Milliseconds without a leader after which it is given up, counted from when the instance last
	 * knew one: a change of leader takes less, so an instance without one for longer is cut off.
	 */
	readonly leaderWait: number
	/** Milliseconds for which it is tried at all. */
	readonly limit: number
	/**
	 * Milliseconds for which it is tried once some instance may have done it, with a leader or without: only a leader can tell what became
	 * of it, and its caller has nothing to gain from an answer that says nothing. As long as `limit` if absent.
	 */
	readonly limitOnceSent?: number
	/** Whether its caller has gone: it is not tried again then, since the caller may try elsewhere. Never if absent. */
	readonly isAbandoned?: () => boolean
}

/** The instance itself while it leads. @internal */
export interface LocalLeader {
	readonly term: number
	/** Answers a call here. */
	readonly call: (call: CellCall, done: (reply: CellReply) => void) => void
}

/** What calls need of the instance. @internal */
export interface LeaderCallsParts {
	readonly clock: Clock
	readonly calls: PeerCalls
	readonly meter: Meter
	/** Who leads now. */
	readonly leader: () => KnownLeader | undefined
	/** Told of a call that was not answered well, or late. */
	readonly onFailedOrSlow?: (call: CellCall, reply: CellReply, took: number, tries: number) => void
	/** @returns this instance as the leader; undefined while it does not lead. */
	readonly localLeader?: () => LocalLeader | undefined
	/** This life of the instance, unlike any other's; names its calls. */
	readonly incarnation: string
}

interface Attempt {
	readonly call: CellCall
	/** The highest term that it was brought to. */
	term: number
	readonly startedAt: number
	readonly limits: RetryLimits
	readonly done: (reply: CellReply) => void
	/** Whether some instance may have done it. */
	mayHaveRun: boolean
	tries: number
}

/**
 * Brings calls to whoever leads.
 *
 * @internal
 */
export class LeaderCalls {
	/** When a leader was last known, on the instance's clock. */
	private leaderKnownAt: number
	private lastNumber = 0

	constructor(private readonly parts: LeaderCallsParts) {
		this.leaderKnownAt = parts.clock.now()
	}

	/** Notes that a leader is known now. */
	onLeaderKnown(): void {
		this.leaderKnownAt = this.parts.clock.now()
	}

	/** Makes a call; it is replied to exactly once. */
	call(call: CellCall, limits: RetryLimits): Promise<CellReply> {
		const { clock } = this.parts
		return new Promise((resolve) => {
			const startedAt = clock.now()
			const done = (reply: CellReply): void => {
				this.record(attempt, reply)
				resolve(reply)
			}
			const named = this.withCallId(call)
			const attempt = { call: named, startedAt, limits, done, term: 0, mayHaveRun: false, tries: 0 }
			this.attempt(attempt)
		})
	}

	/** A submission that is tried more than once is one call to its leaders. */
	private withCallId(call: CellCall): CellCall {
		if (call.kind !== 'submit') return call
		return { ...call, call: { instance: this.parts.incarnation, number: ++this.lastNumber } }
	}

	private record({ call, startedAt, tries }: Attempt, reply: CellReply): void {
		const took = this.parts.clock.now() - startedAt
		this.parts.meter.count(Measure.Calls, { kind: call.kind, outcome: reply.kind })
		this.parts.meter.observe(Measure.CallTime, took, { kind: call.kind })
		const failed = reply.kind === 'not-run' || reply.kind === 'unknown'
		if (failed || took > SLOW_CALL_MS) this.parts.onFailedOrSlow?.(call, reply, took, tries)
	}

	private attempt(attempt: Attempt): void {
		const { localLeader, leader, calls } = this.parts
		const local = localLeader?.()
		if (local) {
			this.attemptLocally(attempt, local)
			return
		}
		const known = leader()
		if (known) this.onLeaderKnown()
		if (!known || known.via.length === 0) {
			this.retry(attempt)
			return
		}
		const peer = known.via[attempt.tries++ % known.via.length]
		const { term } = known
		const to = { peer, term, hops: 0 }
		const limit = Math.min(TRY_TIMEOUT_MS, this.remainingTime(attempt))
		attempt.term = Math.max(attempt.term, term)
		calls.call(to, attempt.call, limit, (outcome) => this.onOutcome(attempt, outcome, term))
	}

	/** Answers here, as the leader. */
	private attemptLocally(attempt: Attempt, { term, call }: LocalLeader): void {
		let answered = false
		const replied = (reply: CellReply): void => {
			if (answered) return
			answered = true
			this.onReply(attempt, reply, term)
		}
		attempt.term = Math.max(attempt.term, term)
		call(attempt.call, replied)
		attempt.mayHaveRun = true
		const reason = 'not committed in time'
		this.parts.clock.after(this.remainingTime(attempt), () => replied({ kind: 'unknown', reason }))
	}

	private onOutcome(attempt: Attempt, outcome: PeerOutcome, term: number): void {
		if (outcome.kind === 'replied') {
			this.onReply(attempt, outcome.reply, term)
			return
		}
		if (outcome.kind === 'no-reply') attempt.mayHaveRun = true
		this.retry(attempt)
	}

	private onReply(attempt: Attempt, reply: CellReply, term: number): void {
		if (reply.kind === 'settled') {
			this.onSettled(attempt, reply.refusal, term)
		} else if (reply.kind === 'unknown') {
			attempt.mayHaveRun = true
			this.retry(attempt)
		} else if (reply.kind === 'not-leader') {
			this.retry(attempt)
		} else if (attempt.mayHaveRun && attempt.call.kind === 'submit' && isJobRefusal(reply)) {
			this.finishUnknown(attempt, reply)
		} else {
			attempt.done(reply)
		}
	}

	/**
	 * A leader has settled that no try of a submission is or will be taken, as far as tries came to it or to leaders before it: those of lower
	 * terms are void once it leads, and it knows what they have committed. A try under a later term may still have been taken.
	 */
	private onSettled(attempt: Attempt, refusal: JobRefusal, term: number): void {
		if (term >= attempt.term || !attempt.mayHaveRun) attempt.done(refusal)
		else this.finishUnknown(attempt, refusal)
	}

	/** After a try without an answer a refusal says nothing of that one: it may have been taken, and its key, queue or quota changed since. */
	private finishUnknown(attempt: Attempt, { kind }: JobRefusal): void {
		attempt.done({ kind: 'unknown', reason: `${kind} after a try without an answer` })
	}

	private retry(attempt: Attempt): void {
		const { clock } = this.parts
		const now = clock.now()
		const leaderless =
			!attempt.mayHaveRun &&
			now - this.leaderKnownAt + RETRY_INTERVAL_MS > attempt.limits.leaderWait
		const isTimedOut = now - attempt.startedAt + RETRY_INTERVAL_MS > limitOf(attempt)
		const shouldStop = isTimedOut || (attempt.limits.isAbandoned?.() ?? false)
		if (!leaderless && !shouldStop) clock.after(RETRY_INTERVAL_MS, () => this.attempt(attempt))
		else if (attempt.mayHaveRun)
			attempt.done({ kind: 'unknown', reason: 'no answer from a leader' })
		else attempt.done({ kind: 'not-run', reason: 'no leader', retryAfter: RETRY_AFTER_MS })
	}

	private remainingTime(attempt: Attempt): number {
		const elapsed = this.parts.clock.now() - attempt.startedAt
		return Math.max(RETRY_INTERVAL_MS, limitOf(attempt) - elapsed)
	}
}

function limitOf({ limits: { limit, limitOnceSent = limit }, mayHaveRun }: Attempt): number {
	return mayHaveRun ? limitOnceSent : limit
}
