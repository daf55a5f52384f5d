/**
 * The running members of gangs: they work once all members of an attempt have started, and end
 * together.
 */
import { RunEnd } from '@rillrudder/jobs'
import type { Clock } from '@rillrudder/utils'
import type { FleetRun } from './FleetWorker'

/** How long a member waits for the others. */
const JOIN_TIMEOUT_MS = 3000
/** Share of the work that is left when a member fails. */
const FAILURE_POINT = 0.5

interface Gang {
	readonly members: Set<FleetRun>
	doneAt?: number
	hasEnded: boolean
}

/**
 * The running gangs.
 *
 * @internal
 */
export class GangRegistry {
	private readonly gangs = new Map<string, Gang>()
	/** Number of runs that ended because other members of the gang did not start in time. */
	timedOutMembers = 0
	/** Number of gangs of which all members have started. */
	startedGangs = 0
	/**
	 * Number of these gangs that ran slower than their step declares because the worker of a member
	 * is slow.
	 */
	slowGangs = 0

	constructor(private readonly clock: Clock) {}

	/** Adds a run that has started to its gang; the gang starts to work once it is complete. */
	onRunStarted(run: FleetRun): void {
		if (!run.step.gang) return
		const gang = this.gangs.get(gangKeyOf(run)) ?? { members: new Set<FleetRun>(), hasEnded: false }
		this.gangs.set(gangKeyOf(run), gang)
		gang.members.add(run)
		run.endsAt = this.clock.now() + JOIN_TIMEOUT_MS
		run.endReason = RunEnd.GangTimeout
		if (gang.members.size < run.step.count || gang.hasEnded) return
		const slowest = Math.min(...[...gang.members].map(({ worker }) => worker.speed))
		this.startedGangs += 1
		if (slowest < 1) this.slowGangs += 1
		const work = run.step.expectedTime / slowest
		gang.doneAt = this.clock.now() + work
		for (const member of gang.members) {
			member.endsAt = gang.doneAt - (member.willFail ? work * FAILURE_POINT : 0)
			member.endReason = member.willFail ? RunEnd.Failed : RunEnd.Done
		}
	}

	/**
	 * Removes a run that has ended; the other members of its gang end too, unless the gang is done.
	 */
	onRunEnded(run: FleetRun): void {
		if (!run.step.gang) return
		const gang = this.gangs.get(gangKeyOf(run))
		if (!gang?.members.delete(run)) return
		if (run.endReason === RunEnd.GangTimeout && run.endsAt <= this.clock.now())
			this.timedOutMembers += 1
		const now = this.clock.now()
		const done = gang.doneAt !== undefined && gang.doneAt <= now
		gang.hasEnded = true
		if (done) return
		for (const member of gang.members) {
			member.endsAt = Math.min(member.endsAt, now)
			if (member.endReason !== RunEnd.Stopped) member.endReason = RunEnd.GangMemberEnded
		}
	}
}

function gangKeyOf({ task, attempt }: FleetRun): string {
	return `${task.slice(0, task.lastIndexOf('.'))}@${attempt}`
}
