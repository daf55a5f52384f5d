/** Jobs as their owners hand them in: steps in a graph, each of a number of tasks. */
import type { Resources } from '@rillrudder/scheduler'

/** One step of a job. @public */
export interface Step {
	/** How many tasks it has; at least 1. */
	readonly count: number
	/** What each task takes. */
	readonly need: Resources
	/** Milliseconds that a task may take; a rough hint, 0 for none. */
	readonly expectedTime: number
	/** Numbers of earlier steps, from 0, all tasks of which must be done first. */
	readonly dependsOn: readonly number[]
	/** Whether its tasks can go on from a checkpoint. */
	readonly checkpoints: boolean
	/** Whether its tasks work only together, under one attempt. */
	readonly gang: boolean
	/** Whether a gang works much slower on more than one rack. */
	readonly sameRack: boolean
	/** A label that the worker must have; empty for any worker. */
	readonly requires: string
	/** The rack where the data is; empty for none. */
	readonly rack: string
	/** Most tasks of this step on one worker at a time; 0 for no limit. */
	readonly mostPerWorker: number
	/** Whether copies of a task may run side by side. */
	readonly copies: boolean
	/** Whether its tasks run until the job is cancelled, and are started again however they end. */
	readonly lasting: boolean
	/** What its tasks run; tasks of one image behave alike. */
	readonly image: string
	/** Milliseconds under which the tail latency of a lasting task's own callers should stay; 0 for none. */
	readonly latencyTarget: number
	/** Whether its tasks use processor time that others leave, and reserve none. */
	readonly bestEffort: boolean
	/** Disruption budget: lasting tasks that may be away at once by the system's doing. */
	readonly disruptionBudget: number
}

/** What a step is unless its description says otherwise. @public */
export const DEFAULT_STEP: Step = {
	count: 1,
	need: { cpu: 0, memory: 0, accelerators: 0 },
	expectedTime: 0,
	dependsOn: [],
	checkpoints: false,
	gang: false,
	sameRack: false,
	requires: '',
	rack: '',
	mostPerWorker: 0,
	copies: false,
	lasting: false,
	image: '',
	latencyTarget: 0,
	bestEffort: false,
	disruptionBudget: 0,
}

/** When a job's steps run again and again. @public */
export interface Repeat {
	/** How many times. */
	readonly count: number
	/** When the first one is due, milliseconds since the epoch. */
	readonly first: number
	/** Milliseconds between two. */
	readonly interval: number
}

/** A job as it is handed in. @public */
export interface JobRequest {
	/** Opaque text that each task is started with. */
	readonly spec: string
	readonly steps: readonly Step[]
	readonly repeat?: Repeat
}

/** Where a job is in its life. @public */
export const JobState = {
	/** Accepted; no task has begun. */
	Queued: 'queued',
	Running: 'running',
	Completed: 'completed',
	/** A task, or a gang, has failed as often as its queue allows. */
	Failed: 'failed',
	Cancelled: 'cancelled',
} as const
/** One of the states. @public */
export type JobState = (typeof JobState)[keyof typeof JobState]

/** How a run of a task ended. @public */
export const RunEnd = {
	Done: 'done',
	/** By its own fault or its worker's. */
	Failed: 'failed',
	/** By an order. */
	Stopped: 'stopped',
	/** Its worker's lease ran out. */
	LeaseExpired: 'lapsed',
	/** Another member of its gang ended. */
	GangMemberEnded: 'broken',
	/** It waited too long for the other members of its gang. */
	GangTimeout: 'alone',
	/** Its worker is gone, or its lease is certainly over, and nothing was heard of it. */
	Lost: 'lost',
	/** Its worker refused to start it, and never will. */
	Refused: 'refused',
} as const
/** One of the endings. @public */
export type RunEnd = (typeof RunEnd)[keyof typeof RunEnd]

/** Names one task: the job, the number of the repeat, the step and the index in the step. @public */
export interface TaskName {
	readonly job: string
	readonly repeat: number
	readonly step: number
	readonly index: number
}

/** @returns the name as text; `parseTaskName` reads it back. @public */
export function formatTaskName(name: TaskName): string {
	return `${name.job}.${name.repeat}.${name.step}.${name.index}`
}

/** @returns the name, or undefined when the text is none. @public */
export function parseTaskName(text: string): TaskName | undefined {
	const parts = text.split('.')
	if (parts.length !== 4) return undefined
	const [repeat, step, index] = parts.slice(1).map(Number)
	if (![repeat, step, index].every((part) => Number.isInteger(part) && part >= 0)) return undefined
	return { job: parts[0], repeat, step, index }
}
