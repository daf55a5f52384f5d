/** Wasted work: how much work is lost when a run ends without completing its task, and why. */
import { JobState, RunEnd } from '../../records/Job'
import { isActive, TaskStatus } from '../../state/JobRecord'
import type { LocatedTask } from '../../state/JobTable'
import type { Run } from './Run'

/** Why the leader stops a run. Values appear in logs. @internal */
export const StopReason = {
	/** Its job has ended, or an earlier run has completed its task. */
	NoLongerNeeded: 'over',
	/** It frees capacity for urgent work. */
	Preempted: 'preempted',
	/** Its worker is leaving. */
	Leaving: 'leaving',
	/** It stalled. */
	Moved: 'moved',
	/** Its start was withdrawn. */
	Withdrawn: 'withdrawn',
} as const
/** One of the stop reasons. @internal */
export type StopReason = (typeof StopReason)[keyof typeof StopReason]

/** Why work was wasted. @internal */
export const WasteCause = {
	/** The client cancelled the job. */
	Cancelled: 'cancelled',
	/** Another task failed the job. */
	JobFailed: 'job-failed',
	/** Another run completed the task. */
	Superseded: 'superseded',
	Failed: 'failed',
	/** Another member of the gang has ended. */
	Broken: 'broken',
	/** The other members of its gang did not arrive in time. */
	Alone: 'alone',
	Preempted: 'preempted',
	Leaving: 'leaving',
	Moved: 'moved',
	Withdrawn: 'withdrawn',
	/** Its worker refused it, or stopped it for a reason that the leader does not know. */
	Refused: 'refused',
	Lapsed: 'lapsed',
	Lost: 'lost',
} as const
/** One of the causes. @internal */
export type WasteCause = (typeof WasteCause)[keyof typeof WasteCause]

const CAUSE_OF_STOP: { readonly [reason in StopReason]: WasteCause } = {
	[StopReason.NoLongerNeeded]: WasteCause.Superseded,
	[StopReason.Preempted]: WasteCause.Preempted,
	[StopReason.Leaving]: WasteCause.Leaving,
	[StopReason.Moved]: WasteCause.Moved,
	[StopReason.Withdrawn]: WasteCause.Withdrawn,
}

const CAUSE_OF_END: { readonly [how in RunEnd]?: WasteCause } = {
	[RunEnd.Failed]: WasteCause.Failed,
	[RunEnd.GangMemberEnded]: WasteCause.Broken,
	[RunEnd.GangTimeout]: WasteCause.Alone,
	[RunEnd.LeaseExpired]: WasteCause.Lapsed,
	[RunEnd.Lost]: WasteCause.Lost,
}

/** Milliseconds times thousandths of a core in one processor second. */
const MILLI_PER_SECOND = 1e6

/**
 * @param run - a run that ended without completing its task.
 * @param how - how it ended.
 * @param place - its job and its task, after that end.
 * @returns why its work was wasted.
 * @internal
 */
export function wasteCauseOf(
	{ stopReason }: Pick<Run, 'stopReason'>,
	how: RunEnd,
	{ job, task }: Pick<LocatedTask, 'job' | 'task'>
): WasteCause {
	if (job.state === JobState.Cancelled) return WasteCause.Cancelled
	if (task.status === TaskStatus.Done) return WasteCause.Superseded
	if (!isActive(job)) return WasteCause.JobFailed
	const byEnd = CAUSE_OF_END[how]
	if (byEnd) return byEnd
	return stopReason ? CAUSE_OF_STOP[stopReason] : WasteCause.Refused
}

/**
 * Computes the work that a run has wasted. Work up to the time when its newest checkpoint was first
 * listed is kept if the task runs again; if its job has ended, all of it is wasted. Lasting runs
 * waste nothing, since they have no end to work towards.
 *
 * @param run - a run that ended without completing its task.
 * @param goesOn - whether its task will run again.
 * @param now - the current time, on the leader's clock.
 * @returns processor seconds that were reserved for the lost work.
 * @internal
 */
export function wastedProcessorSecondsOf(run: Run, goesOn: boolean, now: number): number {
	const { confirmedAt, checkpointAt, need, step } = run
	if (confirmedAt === undefined || step.lasting) return 0
	const since = goesOn ? Math.max(confirmedAt, checkpointAt) : confirmedAt
	return (Math.max(0, now - since) * need.cpu) / MILLI_PER_SECOND
}
