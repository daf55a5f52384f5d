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
export const Waiting = {
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
export type Waiting = (typeof Waiting)[keyof typeof Waiting]

/** How work is moved out of the way of urgent work, gentlest first. @public */
export const Relief = {
	Throttle: 'throttle',
	Checkpoint: 'checkpoint',
	Stop: 'stop',
} as const
/** One of the ways. @public */
export type Relief = (typeof Relief)[keyof typeof Relief]

/** A task that runs. @public */
export interface Running {
	readonly task: Task
	readonly worker: string
	/** What is reserved for it. */
	reserved: Resources
	/** When it was placed, milliseconds since the epoch. */
	readonly since: number
	/** Set while it is being moved out of the way. */
	leaving: boolean
}

/** A task starts on a worker. @public */
export interface Start {
	readonly kind: 'start'
	readonly task: Task
	readonly worker: string
	/** Why there, for people. */
	readonly reason: string
}

/** A task makes room for another. @public */
export interface Relieve {
	readonly kind: 'relieve'
	readonly task: Task
	readonly worker: string
	readonly how: Relief
	readonly for: string
}

/** What the placement decides. @public */
export type Decision = Start | Relieve
