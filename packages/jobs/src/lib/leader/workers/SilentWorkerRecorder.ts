/**
 * Records in the replicated state which workers have sent this leader no recent heartbeat. A worker
 * that was cut off may offer less capacity when it is back, and only its heartbeat reports that. A
 * new leader has received no heartbeat yet, and may rely only on those that its predecessor had
 * received.
 */
import type { LeaderContext } from '../LeaderContext'
import type { WorkerView } from './WorkerView'

/**
 * Interval of records, so that the heartbeats after a change of leader are recorded in a few
 * commands.
 */
const RECORD_INTERVAL_MS = 200

/**
 * Proposes which workers are without heartbeat.
 *
 * @internal
 */
export class SilentWorkerRecorder {
	private dueAt = Number.NEGATIVE_INFINITY
	/** Proposed commands that are not committed yet. */
	private pending = 0

	constructor(private readonly context: LeaderContext) {}

	/** Proposes what differs from the replicated state, unless a proposal is pending. */
	tick(views: Iterable<WorkerView>, now: number): void {
		if (now < this.dueAt || this.pending > 0) return
		this.dueAt = now + RECORD_INTERVAL_MS
		const { state, timing } = this.context
		const changed: { readonly [isSilent in 'true' | 'false']: string[] } = { true: [], false: [] }
		for (const view of views) {
			const known = state.workers.find(view.id)
			const isSilent = !view.hasHeartbeat || view.heartbeatAge(now) > timing.heartbeatOverdue
			if (known && isSilent !== (known.silent ?? false)) changed[`${isSilent}`].push(view.id)
		}
		this.propose(changed.true, true)
		this.propose(changed.false, false)
	}

	private propose(workers: readonly string[], isSilent: boolean): void {
		if (workers.length === 0) return
		this.pending += 1
		this.context.proposals.propose(
			{ kind: 'silent', workers, silent: isSilent },
			() => (this.pending -= 1)
		)
	}
}
