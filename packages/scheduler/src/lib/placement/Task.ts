/** Tasks as the placement knows them. */
import type { IntentKind } from '@rillrudder/settings'
import type { Resources } from '../capacity/Resources'

/** A task that is to run. @public */
export interface Task {
	readonly id: string
	readonly intent: string
	readonly team: string
	readonly kind: IntentKind
	readonly need: Resources
	readonly urgent: boolean
	/** Milliseconds since the epoch; absent for none. */
	readonly deadline?: number
	/** Expected run time in milliseconds; a hint. */
	readonly runTime: number
	/** Milliseconds since the epoch. */
	readonly submitted: number
	/** Whether it can be stopped and go on later. */
	readonly checkpoints: boolean
	/** Least processors that it goes on with; absent when it can't be throttled. */
	readonly throttleTo?: number
	/** For a gang: how many tasks must start together. */
	readonly gangSize: number
}

/** Why a task waits. @public */
export const WaitingReason = {
	/** Nobody has looked at it yet. */
	New: 'new',
	/** Its team has used up its quota. */
	Quota: 'quota',
	/** No open worker has enough free. */
	Capacity: 'capacity',
	/** Not all tasks of its gang can start yet. */
	Gang: 'gang',
	/** Lower work is being moved out of its way. */
	Preempting: 'preempting',
} as const
/** One of the reasons. @public */
export type WaitingReason = (typeof WaitingReason)[keyof typeof WaitingReason]

/** How work is moved out of the way of urgent work, gentlest first. @public */
export const PreemptionMethod = {
	Throttle: 'throttle',
	Checkpoint: 'checkpoint',
	Stop: 'stop',
} as const
/** One of the ways. @public */
export type PreemptionMethod = (typeof PreemptionMethod)[keyof typeof PreemptionMethod]

/** A task that runs. @public */
export interface RunningTask {
	readonly task: Task
	readonly worker: string
	/** What is reserved for it. */
	reserved: Resources
	/** When it was placed, milliseconds since the epoch. */
	readonly since: number
	/** Set while it is being moved out of the way. */
	isBeingPreempted: boolean
}

/** A task starts on a worker. @public */
export interface StartDecision {
	readonly kind: 'start'
	readonly task: Task
	readonly worker: string
	/** Why there, for people. */
	readonly reason: string
}

/** A task makes room for another. @public */
export interface PreemptionDecision {
	readonly kind: 'relieve'
	readonly task: Task
	readonly worker: string
	readonly how: PreemptionMethod
	readonly for: string
}

/** What the placement decides. @public */
export type Decision = StartDecision | PreemptionDecision
