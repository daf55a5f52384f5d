/** Logs calls that failed or were slow. */
import type { CellCall, CellReply } from '@rillrudder/jobs'
import type { Log } from '@rillrudder/telemetry'
import type { KnownLeader } from './LeaderView'
import { MemberEvent } from './MemberEvent'

/**
 * @param log - the log to write to.
 * @param leader - returns the leader as known to this instance.
 * @returns a function that logs one call.
 * @internal
 */
export function callLogger(log: Log, leader: () => KnownLeader | undefined) {
	return (call: CellCall, reply: CellReply, took: number, tries: number): void => {
		const known = leader()
		log.info(MemberEvent.CallAnswered, {
			call: call.kind,
			path: 'to' in call && 'path' in call.to ? call.to.path : undefined,
			outcome: reply.kind,
			reason: 'reason' in reply ? reply.reason : undefined,
			took: Math.round(took),
			tries,
			leader: known?.id ?? '',
			term: known?.term ?? 0,
		})
	}
}
