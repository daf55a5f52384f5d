/**
 * The error boundary for messages that this program can't handle. Unreadable messages are skipped.
 * A call whose handler throws is answered with an unknown outcome and is not handled here again:
 * its sender repeats it, and a crash on each repetition would take down one instance after the
 * other. Faults outside calls (ticks, committed commands) end the process, since a half-finished
 * change would be wrong for all.
 */
import { createHash } from 'node:crypto'
import type { CellCall, CellReply } from '@rillrudder/jobs'
import { Measure, type Log, type Meter } from '@rillrudder/telemetry'
import type { Clock } from '@rillrudder/utils'
import { MemberEvent } from './MemberEvent'

/** Maximum number of calls remembered as faulty; the oldest is forgotten first. */
const MAX_FAULTY_CALLS = 100
/** Milliseconds between two log lines about unreadable messages. */
const LOG_INTERVAL_MS = 5000

/**
 * Contains faults in the handling of messages.
 *
 * @internal
 */
export class CallFaults {
	/** Digests of calls whose handler has thrown. */
	private readonly faultyCalls = new Set<string>()
	private unreportedMessages = 0
	private lastLoggedAt = Number.NEGATIVE_INFINITY

	constructor(
		private readonly clock: Clock,
		private readonly log: Log,
		private readonly meter: Meter
	) {}

	/** Counts and logs a message of a peer that could not be read. */
	onUnreadable(peer: string): void {
		this.meter.count(Measure.MessagesUnreadable)
		this.unreportedMessages += 1
		const now = this.clock.now()
		if (now - this.lastLoggedAt < LOG_INTERVAL_MS) return
		this.log.warn(MemberEvent.MessagesUnreadable, { peer, messages: this.unreportedMessages })
		this.lastLoggedAt = now
		this.unreportedMessages = 0
	}

	/**
	 * Runs the handler of a call.
	 *
	 * @param done - takes the `unknown` reply if the handler throws now or threw for the same call
	 * before.
	 * @param handle - handles the call.
	 */
	handle(call: CellCall, done: (reply: CellReply) => void, handle: () => void): void {
		const unknown: CellReply = { kind: 'unknown', reason: 'it could not be handled' }
		if (this.faultyCalls.size > 0 && this.faultyCalls.has(digestOf(call))) return done(unknown)
		try {
			handle()
		} catch (fault) {
			this.record(call, fault as Error)
			done(unknown)
		}
	}

	private record(call: CellCall, { message: reason }: Error): void {
		this.meter.count(Measure.CallsFaulty, { call: call.kind })
		this.log.error(MemberEvent.CallFaulty, { call: call.kind, reason })
		if (this.faultyCalls.size >= MAX_FAULTY_CALLS) this.faultyCalls.delete([...this.faultyCalls][0])
		this.faultyCalls.add(digestOf(call))
	}
}

/**
 * The call id of a submission is left out, since a submission that its caller repeats has another
 * one.
 */
function digestOf(call: CellCall): string {
	const identity = call.kind === 'submit' ? { ...call, call: undefined } : call
	return createHash('sha256').update(JSON.stringify(identity)).digest('hex')
}
