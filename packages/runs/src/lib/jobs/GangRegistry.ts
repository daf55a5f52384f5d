/** The members of gangs that run: they work once all of one attempt are there, and end together. */
import { RunEnd } from '@rillrudder/jobs'
import type { Clock } from '@rillrudder/utils'
import type { FleetRun } from './FleetWorker'

/** Milliseconds that a member waits for the others. */
const PATIENCE = 3000
/** Share of the work that is left when a member fails. */
const FAILS_AFTER = 0.5

interface Gang {
	readonly members: Set<FleetRun>
	worksUntil?: number
	over: boolean
}

/**
 * The gangs that run.
 *
 * @internal
 */
export class GangRegistry {
	private readonly gangs = new Map<string, Gang>()
	/** How many runs ended because the others did not come. */
	alone = 0
	/** How many gangs have worked. */
	worked = 0
	/** How many of them worked more slowly than their step declared, for a member's worker is slow. */
	slow = 0

	constructor(private readonly clock: Clock) {}

	/** A run has begun. */
	joined(run: FleetRun): void {
		if (!run.step.gang) return
		const gang = this.gangs.get(keyOf(run)) ?? { members: new Set<FleetRun>(), over: false }
		this.gangs.set(keyOf(run), gang)
		gang.members.add(run)
		run.endsAt = this.clock.now() + PATIENCE
		run.endsAs = RunEnd.GangTimeout
		if (gang.members.size < run.step.count || gang.over) return
		const slowest = Math.min(...[...gang.members].map(({ worker }) => worker.speed))
		this.worked += 1
		if (slowest < 1) this.slow += 1
		const work = run.step.expectedTime / slowest
		gang.worksUntil = this.clock.now() + work
		for (const member of gang.members) {
			member.endsAt = gang.worksUntil - (member.fails ? work * FAILS_AFTER : 0)
			member.endsAs = member.fails ? RunEnd.Failed : RunEnd.Done
		}
	}

	/** A run has ended: the others of its gang end too. */
	left(run: FleetRun): void {
		if (!run.step.gang) return
		const gang = this.gangs.get(keyOf(run))
		if (!gang?.members.delete(run)) return
		if (run.endsAs === RunEnd.GangTimeout && run.endsAt <= this.clock.now()) this.alone += 1
		const now = this.clock.now()
		const done = gang.worksUntil !== undefined && gang.worksUntil <= now
		gang.over = true
		if (done) return
		for (const member of gang.members) {
			member.endsAt = Math.min(member.endsAt, now)
			if (member.endsAs !== RunEnd.Stopped) member.endsAs = RunEnd.GangMemberEnded
		}
	}
}

function keyOf({ task, attempt }: FleetRun): string {
	return `${task.slice(0, task.lastIndexOf('.'))}@${attempt}`
}
