/**
 * The border at which a message that this program can't handle ends. What can't be read is passed over. A call whose handling throws is
 * answered with what is true, that its outcome is not known, and is not handled here again: its sender repeats it, and a fault that ended the
 * process each time would end one instance after the other. Faults outside calls (ticks, committed commands) end the process: what they leave
 * half done would be wrong for all.
 */
import { createHash } from 'node:crypto'
import type { CellCall, CellReply } from '@rillrudder/jobs'
import { Measure, type Log, type Meter } from '@rillrudder/telemetry'
import type { Clock } from '@rillrudder/utils'
import { MemberEvent } from './MemberEvent'

/** Calls that are remembered as faulty; the oldest is forgotten first. */
const MAX_FAULTY_CALLS = 100
/** Milliseconds between two lines about unreadable messages. */
const LOG_INTERVAL_MS = 5000

/**
 * Faults of messages.
 *
 * @internal
 */
export class CallFaults {
	/** Digests of calls whose handling has failed here. */
	private readonly faultyCalls = new Set<string>()
	private unreportedMessages = 0
	private lastLoggedAt = Number.NEGATIVE_INFINITY

	constructor(
		private readonly clock: Clock,
		private readonly log: Log,
		private readonly meter: Meter
	) {}

	/** A message of a peer could not be read. */
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
	 * @param call - the call.
	 * @param done - takes the reply of a call that is not handled, or whose handling has failed.
	 * @param handle - handles it.
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

/** The name of a call is left out: a submission that its caller brings again has another. */
function digestOf(call: CellCall): string {
	const identity = call.kind === 'submit' ? { ...call, call: undefined } : call
	return createHash('sha256').update(JSON.stringify(identity)).digest('hex')
}
