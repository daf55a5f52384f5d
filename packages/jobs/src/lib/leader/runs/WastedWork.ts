/** Work that is thrown away: how much of a run's work is lost when it ends otherwise than done, and why. */
import { JobState, RunEnd } from '../../records/Job'
import { isActive, TaskStatus } from '../../state/JobRecord'
import type { TaskPlace } from '../../state/JobTable'
import type { Run } from './Run'

/** Why the leader stops a run. @internal */
export const StopReason = {
	/** Its job has ended, or an earlier run has done its task. */
	NoLongerNeeded: 'over',
	/** To make room for urgent work. */
	Preempted: 'preempted',
	/** Its worker is leaving. */
	Leaving: 'leaving',
	/** It stood still. */
	Moved: 'moved',
	/** It was not begun after all. */
	Withdrawn: 'withdrawn',
} as const
/** One of the reasons. @internal */
export type StopReason = (typeof StopReason)[keyof typeof StopReason]

/** Why work was thrown away. @internal */
export const WasteCause = {
	/** The caller has cancelled the job. */
	Cancelled: 'cancelled',
	/** The job has failed by another task. */
	JobFailed: 'job-failed',
	/** Another run has done the task. */
	Superseded: 'superseded',
	Failed: 'failed',
	/** Another member of the gang has ended. */
	Broken: 'broken',
	/** It waited in vain for the other members of its gang. */
	Alone: 'alone',
	Preempted: 'preempted',
	Leaving: 'leaving',
	Moved: 'moved',
	Withdrawn: 'withdrawn',
	/** Its worker refused it, or stopped it for a reason that is not known here. */
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
	[RunEnd.Broken]: WasteCause.Broken,
	[RunEnd.Alone]: WasteCause.Alone,
	[RunEnd.Lapsed]: WasteCause.Lapsed,
	[RunEnd.Lost]: WasteCause.Lost,
}

/** Milliseconds of thousandths of a processor in a second of a whole one. */
const MILLI_PER_SECOND = 1e6

/**
 * @param run - a run that has ended, not as done.
 * @param how - how it ended.
 * @param place - its task, as it is after that end.
 * @returns why its work was thrown away.
 * @internal
 */
export function wasteCauseOf(
	{ stopReason }: Pick<Run, 'stopReason'>,
	how: RunEnd,
	{ job, task }: Pick<TaskPlace, 'job' | 'task'>
): WasteCause {
	if (job.state === JobState.Cancelled) return WasteCause.Cancelled
	if (task.status === TaskStatus.Done) return WasteCause.Superseded
	if (!isActive(job)) return WasteCause.JobFailed
	const byEnd = CAUSE_OF_END[how]
	if (byEnd) return byEnd
	return stopReason ? CAUSE_OF_STOP[stopReason] : WasteCause.Refused
}

/**
 * What a checkpoint keeps counts up to when it was first listed; of a job that has ended nothing is of use. Lasting runs throw nothing away:
 * they have no end to work towards.
 *
 * @param run - a run that has ended, not as done.
 * @param goesOn - whether its task will begin again.
 * @param now - the moment, on the leader's clock.
 * @returns processor seconds that were reserved for work which is lost.
 * @internal
 */
export function wastedProcessorSecondsOf(run: Run, goesOn: boolean, now: number): number {
	const { confirmedAt, checkpointAt, need, step } = run
	if (confirmedAt === undefined || step.lasting) return 0
	const since = goesOn ? Math.max(confirmedAt, checkpointAt) : confirmedAt
	return (Math.max(0, now - since) * need.cpu) / MILLI_PER_SECOND
}
