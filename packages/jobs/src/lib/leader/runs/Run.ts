/** The leader's view of one run of a task. */
import type { QuotaAccount, Resources } from '@rillrudder/scheduler'
import type { RunProgress } from '../../placement/RunProgress'
import type { StepTimes } from '../../placement/StepUrgency'
import type { Step, TaskName } from '../../records/Job'
import type { ObservedRunTime } from './ObservedRunTime'
import type { StopReason } from './WastedWork'

/** The state of a run, by what its worker was ordered to do. @internal */
export const RunPhase = {
	/** Its start is ordered or about to be, and not confirmed yet. */
	Starting: 'starting',
	/** Its worker has confirmed or listed it as running. */
	Running: 'running',
	/** Its stop is ordered or about to be, and not confirmed yet. */
	Stopping: 'stopping',
	/** Its worker has confirmed the stop, and will list the run as ended if it ever ran. */
	Stopped: 'stopped',
} as const
/** One of the run phases. @internal */
export type RunPhase = (typeof RunPhase)[keyof typeof RunPhase]

/** One run of a task. @internal */
export interface Run {
	/** The formatted name of its task. */
	readonly taskId: string
	readonly name: TaskName
	readonly step: Step
	readonly attempt: number
	/** Id of its worker. */
	readonly worker: string
	/** Resources that are reserved for it. */
	readonly need: Resources
	/** The service whose workers run it. */
	readonly service: string
	/** Whether it has the highest priority. */
	urgent: boolean
	/** The quota account of its job; undefined if it has none. */
	readonly account: QuotaAccount | undefined
	/** Whether it can be preempted by urgent work. */
	yields: boolean
	/** Deadline of its job and the work that remains until then. */
	times: StepTimes
	/** Ticket that its start order carries; empty if there is none. */
	readonly ticket: string
	/** Whether its worker requires a ticket. */
	readonly needsTicket: boolean
	/** When this leader decided to start it, on its clock; undefined if an earlier leader did. */
	readonly decidedAt: number | undefined
	/** Whether an earlier leader started it. */
	isRestored: boolean
	phase: RunPhase
	/** When its phase last changed, on the leader's clock. */
	phaseSince: number
	/** Whether an order to start it got no answer, and may still be carried out. */
	isInDoubt: boolean
	/** Whether its task is suspected of crashing workers. */
	readonly isSuspected: boolean
	/**
	 * Whether any leader has seen it running past its startup; recorded for suspected runs only.
	 */
	seenAtWork: boolean
	/** Whether this leader has sent an order to start it. */
	isOrdered: boolean
	/** When its worker first confirmed or listed it, on the leader's clock; undefined before. */
	confirmedAt: number | undefined
	/** How long it has been running, by its worker's clock. */
	readonly observedTime: ObservedRunTime
	/** Whether an order is waiting for an answer. */
	isOrderPending: boolean
	/** When an order without an answer is sent again, on the leader's clock. */
	retryAt: number
	/** The newest checkpoint that its worker listed; empty if there is none. */
	checkpoint: string
	/** When that checkpoint was first listed, on the leader's clock. */
	checkpointAt: number
	/** Why it was ordered to stop; undefined before. */
	stopReason: StopReason | undefined
	/** Its progress, from 0 to 100. */
	percent: number
	/** The speed of its progress and the estimate of its end. */
	readonly progress: RunProgress
	/** Whether it is about to end by itself because another member of its gang has ended. */
	isEnding: boolean
	/** The last measurement that its worker reported: tail latency or processor use. */
	measure: number
	/** Percentage of its full speed that it was last ordered to run at, from 0 to 100. */
	pace: number
	/** Whether a command that clears its task of suspicion has been proposed. */
	isClearProposed: boolean
	/** Consecutive polls that did not list it although they should have. */
	missedPolls: number
}

/**
 * @param run - a run that may be stopped and continued elsewhere.
 * @param epoch - the current time, in milliseconds since the epoch.
 * @returns the slack of its job in milliseconds if the run resumed from its checkpoint, or from the
 * beginning without checkpoints, now; negative if the job would miss its deadline.
 * @internal
 */
export function slackOf({ times, step, percent }: Run, epoch: number): number {
	const done = step.checkpoints ? (step.expectedTime * percent) / 100 : 0
	return times.deadline - epoch - (times.remaining - done)
}
