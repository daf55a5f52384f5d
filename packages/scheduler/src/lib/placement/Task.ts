/** Tasks and decisions of the placement. */
import type { IntentKind } from '@rillrudder/settings'
import type { Resources } from '../capacity/Resources'

/** A task to run. @public */
export interface Task {
	readonly id: string
	readonly intent: string
	readonly team: string
	readonly kind: IntentKind
	readonly need: Resources
	readonly urgent: boolean
	/** Milliseconds since the epoch; absent for none. */
	readonly deadline?: number
	/** Declared run time in milliseconds; a hint. */
	readonly runTime: number
	/** Milliseconds since the epoch. */
	readonly submitted: number
	/** Whether it can be stopped and resumed later. */
	readonly checkpoints: boolean
	/** Thousandths of a processor to which it can be throttled; absent if it can't be. */
	readonly throttleTo?: number
	/** The number of tasks that must start together; 1 for a task outside a gang. */
	readonly gangSize: number
}

/** Why a task waits. @public */
export const WaitingReason = {
	/** It has not been considered yet. */
	New: 'new',
	/** Its team has used up its quota. */
	Quota: 'quota',
	/** No open worker has enough free. */
	Capacity: 'capacity',
	/** Not all tasks of its gang can start yet. */
	Gang: 'gang',
	/** Batch work is being preempted for it. */
	Preempting: 'preempting',
} as const
/** One of the reasons of {@link WaitingReason}. @public */
export type WaitingReason = (typeof WaitingReason)[keyof typeof WaitingReason]

/** How a task is preempted, least disruptive first. @public */
export const PreemptionMethod = {
	Throttle: 'throttle',
	Checkpoint: 'checkpoint',
	Stop: 'stop',
} as const
/** One of the methods of {@link PreemptionMethod}. @public */
export type PreemptionMethod = (typeof PreemptionMethod)[keyof typeof PreemptionMethod]

/** A running task. @public */
export interface RunningTask {
	readonly task: Task
	readonly worker: string
	/** What is reserved for it. */
	reserved: Resources
	/** When it was placed, milliseconds since the epoch. */
	readonly since: number
	/** Set while the task is being preempted. */
	isBeingPreempted: boolean
}

/** The decision to start a task on a worker. @public */
export interface StartDecision {
	readonly kind: 'start'
	readonly task: Task
	readonly worker: string
	/** Why this worker was chosen, as text for people. */
	readonly reason: string
}

/** The decision to preempt a task for another one. @public */
export interface PreemptionDecision {
	readonly kind: 'relieve'
	readonly task: Task
	readonly worker: string
	readonly how: PreemptionMethod
	/** Id of the urgent task. */
	readonly for: string
}

/** A decision of the placement. @public */
export type Decision = StartDecision | PreemptionDecision
