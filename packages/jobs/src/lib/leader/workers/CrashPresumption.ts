/**
 * Decides that workers count as crashed that have been unreachable for long. A crashed worker sends
 * nothing, and may never be replaced by another incarnation that shows its end, so a task that is
 * held until the fate of its worker is known would otherwise wait for an event that never occurs.
 *
 * The wait is measured from a replicated time, so it does not start again with each leader. Wall
 * clocks of leaders differ, so each leader also measures it on its own clock from when it first
 * found the worker undecided.
 */
import { epochTimeOf, type LeaderContext } from '../LeaderContext'
import { LeaderEvent } from '../LeaderEvent'
import type { UndecidedWorker } from '../../state/SilentWorkerIndex'

/** Interval between two checks, each of which visits the undecided workers. */
const CHECK_INTERVAL_MS = 200

/**
 * Proposes which unreachable workers count as crashed.
 *
 * @internal
 */
export class CrashPresumption {
	private dueAt = Number.NEGATIVE_INFINITY
	private isPending = false
	/** When this leader first found each worker undecided, on its own clock. */
	private firstSeen: ReadonlyMap<string, number> = new Map()

	constructor(private readonly context: LeaderContext) {}

	/** Proposes the workers whose time is over, unless a proposal is pending. */
	tick(now: number): void {
		if (now < this.dueAt || this.isPending) return
		this.dueAt = now + CHECK_INTERVAL_MS
		const undecided = this.context.state.jobs.undecidedWorkers
		this.firstSeen = new Map(
			undecided.map(({ worker }) => [worker, this.firstSeen.get(worker) ?? now])
		)
		const { crashPresumption } = this.context.timing
		const overdue = undecided.filter((one) => this.silenceOf(one, now) >= crashPresumption)
		if (overdue.length > 0) this.propose(overdue, now)
	}

	/** @returns for how many milliseconds a worker has certainly or apparently been unreachable. */
	private silenceOf({ worker, since }: UndecidedWorker, now: number): number {
		const seenFor = now - (this.firstSeen.get(worker) ?? now)
		return since === undefined ? seenFor : Math.max(seenFor, epochTimeOf(this.context) - since)
	}

	private propose(overdue: readonly UndecidedWorker[], now: number): void {
		const { log, proposals } = this.context
		for (const one of overdue) {
			const silent = Math.round(this.silenceOf(one, now))
			log.info(LeaderEvent.WorkerPresumedCrashed, { worker: one.worker, silent })
		}
		this.isPending = true
		const workers = overdue.map(({ worker }) => worker)
		const at = epochTimeOf(this.context)
		proposals.propose({ kind: 'presume-crashed', workers, at }, () => (this.isPending = false))
	}
}
