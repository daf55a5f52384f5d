/**
 * Sends calls to the current leader. Every call is idempotent, identified by an id, a version or a
 * sequence, so a call whose leader is lost is sent to the next one, within its limits.
 */
import { isJobRefusal, type CellCall, type CellReply, type JobRefusal } from '@rillrudder/jobs'
import { Measure, type Meter } from '@rillrudder/telemetry'
import type { Clock } from '@rillrudder/utils'
import type { KnownLeader } from './LeaderView'
import type { PeerCalls, PeerOutcome } from './PeerCalls'

/** Milliseconds between two tries. */
const RETRY_INTERVAL_MS = 50
/** Timeout of one try in milliseconds; a commit on a slow disk takes hundreds. */
const TRY_TIMEOUT_MS = 800
/** Milliseconds from which an answered call is logged as slow. */
const SLOW_CALL_MS = 300
/** Milliseconds after which a caller may repeat a call that was not run. */
const RETRY_AFTER_MS = 1000

/** For how long a call is retried. @public */
export interface RetryLimits {
	/**
	 * Milliseconds without a leader after which the call is abandoned, counted from when the
	 * instance last knew one. A leader change takes less, so an instance without a leader for
	 * longer is cut off.
	 */
	readonly leaderWait: number
	/** Milliseconds for which the call is retried in total. */
	readonly limit: number
	/**
	 * Milliseconds in total for which a call is retried that some instance may have run, with or
	 * without a known leader: only a leader can report its outcome, and an early `unknown` reply is
	 * of no use to the caller. Defaults to `limit`.
	 */
	readonly limitOnceSent?: number
	/**
	 * Whether the caller has gone; the call is not retried then, since the caller may repeat it
	 * elsewhere. Defaults to never.
	 */
	readonly isAbandoned?: () => boolean
}

/** The instance itself while it leads. @internal */
export interface LocalLeader {
	readonly term: number
	/** Answers a call here. */
	readonly call: (call: CellCall, done: (reply: CellReply) => void) => void
}

/** Dependencies of the leader calls. @internal */
export interface LeaderCallsParts {
	readonly clock: Clock
	readonly calls: PeerCalls
	readonly meter: Meter
	/** @returns the current leader, if one is known. */
	readonly leader: () => KnownLeader | undefined
	/** Called for each call that failed or was slow; `took` is in milliseconds. */
	readonly onFailedOrSlow?: (call: CellCall, reply: CellReply, took: number, tries: number) => void
	/** @returns this instance as the leader; undefined while it does not lead. */
	readonly localLeader?: () => LocalLeader | undefined
	/** Unique id of this start of the instance; part of its call ids. */
	readonly incarnation: string
}

interface Attempt {
	readonly call: CellCall
	/** The highest term under which it was sent. */
	term: number
	readonly startedAt: number
	readonly limits: RetryLimits
	readonly done: (reply: CellReply) => void
	/** Whether some instance may have run it. */
	mayHaveRun: boolean
	tries: number
}

/**
 * Sends calls to the current leader and retries them.
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

	/** Records that a leader is known now. */
	onLeaderKnown(): void {
		this.leaderKnownAt = this.parts.clock.now()
	}

	/** Makes a call; the promise resolves with its only reply and never rejects. */
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

	/** Gives a submission a call id, by which leaders recognise its retries as one call. */
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
	 * Handles a leader's reply that no try of a submission is or will be accepted, up to its term:
	 * tries under lower terms are void once it leads, and it knows what they have committed. A try
	 * under a later term may have been accepted.
	 */
	private onSettled(attempt: Attempt, refusal: JobRefusal, term: number): void {
		if (term >= attempt.term || !attempt.mayHaveRun) attempt.done(refusal)
		else this.finishUnknown(attempt, refusal)
	}

	/**
	 * Replies `unknown` to a refusal after an unanswered try, which may have been accepted before
	 * its key, queue or quota changed.
	 */
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
