/** The members of gangs that run: they work once all of one attempt are there, and end together. */
import { RunEnd } from '@rillrudder/jobs'
import type { Clock } from '@rillrudder/utils'
import type { FleetRun } from './FleetWorker'

/** Milliseconds that a member waits for the others. */
const JOIN_TIMEOUT_MS = 3000
/** Share of the work that is left when a member fails. */
const FAILURE_POINT = 0.5

interface Gang {
	readonly members: Set<FleetRun>
	doneAt?: number
	hasEnded: boolean
}

/**
 * The gangs that run.
 *
 * @internal
 */
export class GangRegistry {
	private readonly gangs = new Map<string, Gang>()
	/** How many runs ended because the others did not come. */
	timedOutMembers = 0
	/** How many gangs have worked. */
	startedGangs = 0
	/** How many of them worked more slowly than their step declared, for a member's worker is slow. */
	slowGangs = 0

	constructor(private readonly clock: Clock) {}

	/** A run has begun. */
	onRunStarted(run: FleetRun): void {
		if (!run.step.gang) return
		const gang = this.gangs.get(gangKeyOf(run)) ?? { members: new Set<FleetRun>(), hasEnded: false }
		this.gangs.set(gangKeyOf(run), gang)
		gang.members.add(run)
		run.endsAt = this.clock.now() + JOIN_TIMEOUT_MS
		run.endReason = RunEnd.Alone
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

	/** A run has ended: the others of its gang end too. */
	onRunEnded(run: FleetRun): void {
		if (!run.step.gang) return
		const gang = this.gangs.get(gangKeyOf(run))
		if (!gang?.members.delete(run)) return
		if (run.endReason === RunEnd.Alone && run.endsAt <= this.clock.now()) this.timedOutMembers += 1
		const now = this.clock.now()
		const done = gang.doneAt !== undefined && gang.doneAt <= now
		gang.hasEnded = true
		if (done) return
		for (const member of gang.members) {
			member.endsAt = Math.min(member.endsAt, now)
			if (member.endReason !== RunEnd.Stopped) member.endReason = RunEnd.Broken
		}
	}
}

function gangKeyOf({ task, attempt }: FleetRun): string {
	return `${task.slice(0, task.lastIndexOf('.'))}@${attempt}`
}
