/** One run of a task, from its beginning to its end. */
import type { QuotaAccount, Resources } from '@rillrudder/scheduler'
import type { RunProgress } from '../../placement/RunProgress'
import type { StepTimes } from '../../placement/StepUrgency'
import type { Step, TaskName } from '../../records/Job'
import type { ObservedRunTime } from './ObservedRunTime'
import type { StopReason } from './WastedWork'

/** What has been asked of a run's worker. @internal */
export const RunPhase = {
	/** To start it; not yet confirmed. */
	Starting: 'starting',
	/** It runs. */
	Running: 'running',
	/** To stop it; not yet confirmed. */
	Stopping: 'stopping',
	/** It was told to stop and will be listed as ended, if it ever ran. */
	Stopped: 'stopped',
} as const
/** One of the phases. @internal */
export type RunPhase = (typeof RunPhase)[keyof typeof RunPhase]

/** One run. @internal */
export interface Run {
	readonly taskId: string
	readonly name: TaskName
	readonly step: Step
	readonly attempt: number
	readonly worker: string
	/** What is reserved for it. */
	readonly need: Resources
	/** The service at whose workers it runs. */
	readonly service: string
	/** Whether it is of the highest priority. */
	readonly urgent: boolean
	/** The account of its job; undefined for none. */
	readonly account: QuotaAccount | undefined
	/** Whether it makes room for what is. */
	readonly yields: boolean
	/** When it had to begin for its job to be in time. */
	readonly times: StepTimes
	readonly ticket: string
	/** Whether its worker wants a ticket. */
	readonly needsTicket: boolean
	/** When this leader decided to begin it, on its clock; undefined for one that an earlier leader began. */
	readonly decidedAt: number | undefined
	/** Whether an earlier leader began it. */
	isRestored: boolean
	phase: RunPhase
	/** When the phase began, on the leader's clock. */
	phaseSince: number
	/** Whether an order to start it got no answer, so that it may still be carried out. */
	isInDoubt: boolean
	/** Whether workers have crashed under its task. */
	readonly isSuspected: boolean
	/** Whether this leader or an earlier one has seen it at work after its beginning; only told of suspected ones. */
	seenAtWork: boolean
	/** Whether this leader has ordered it. */
	isOrdered: boolean
	/** When its worker first confirmed or listed it, on the leader's clock; absent before. */
	confirmedAt: number | undefined
	/** For how long it has been at work, by its worker's clock. */
	readonly observedTime: ObservedRunTime
	/** Whether an order is under way. */
	isOrderPending: boolean
	/** When an order without an answer is sent again. */
	retryAt: number
	/** The newest checkpoint that its worker listed; empty for none. */
	checkpoint: string
	/** When that was first listed, on the leader's clock. */
	checkpointAt: number
	/** Why it was told to stop; absent before. */
	stopReason: StopReason | undefined
	/** How far it has got, from 0 to 100. */
	percent: number
	/** How fast it gets on, and when it is expected to end. */
	readonly progress: RunProgress
	/** Whether it ends soon by itself, since another member of its gang has ended. */
	isEnding: boolean
	/** What the worker last reported of it: tail latency or processor use. */
	measure: number
	/** Share of its speed that it was last told to work at, from 0 to 100. */
	pace: number
	/** Whether it is being noted that it does no harm. */
	isClearProposed: boolean
	/** WorkerPolls in a row that did not list it although they should have. */
	missedPolls: number
}

/**
 * @param run - a run that may be stopped and go on elsewhere.
 * @param epoch - now, in milliseconds since the epoch.
 * @returns milliseconds that its job would still have in hand if it had to do the rest of its work from now on.
 * @internal
 */
export function slackOf({ times, step, percent }: Run, epoch: number): number {
	const done = step.checkpoints ? (step.expectedTime * percent) / 100 : 0
	return times.deadline - epoch - (times.remaining - done)
}
