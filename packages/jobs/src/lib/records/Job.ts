/** Jobs as they are submitted: a graph of steps, each of which has a number of tasks. */
import type { Resources } from '@rillrudder/scheduler'

/** One step of a job. @public */
export interface Step {
	/** How many tasks it has; at least 1. */
	readonly count: number
	/** Resources of each task. */
	readonly need: Resources
	/** Expected run time of a task in milliseconds; a rough hint, 0 for none. */
	readonly expectedTime: number
	/** Indices of earlier steps, all tasks of which must be done first. */
	readonly dependsOn: readonly number[]
	/** Whether its tasks can resume from a checkpoint. */
	readonly checkpoints: boolean
	/** Whether its tasks run only all together, under one attempt number. */
	readonly gang: boolean
	/** Whether a gang runs much slower when spread over several racks. */
	readonly sameRack: boolean
	/** A label that its workers must have; empty for any worker. */
	readonly requires: string
	/** The rack of its input data; empty for none. */
	readonly rack: string
	/** Largest number of its tasks on one worker at a time; 0 for no limit. */
	readonly mostPerWorker: number
	/** Whether copies of a task may run at the same time. */
	readonly copies: boolean
	/** Whether its tasks run until the job is cancelled, and are restarted however they end. */
	readonly lasting: boolean
	/** Image that its tasks run; tasks of one image behave alike. */
	readonly image: string
	/** Target for the tail latency of a lasting task's own callers in milliseconds; 0 for none. */
	readonly latencyTarget: number
	/** Whether its tasks reserve no processor time and use only what others leave idle. */
	readonly bestEffort: boolean
	/** Disruption budget: number of lasting tasks that the system may take down at a time. */
	readonly disruptionBudget: number
}

/** Default values of the fields of a step. @public */
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

/** How often and when the steps of a job are repeated. @public */
export interface Repeat {
	/** Number of repeats. */
	readonly count: number
	/** When the first repeat is due, milliseconds since the epoch. */
	readonly first: number
	/** Milliseconds between two repeats. */
	readonly interval: number
}

/** A job as it is submitted. @public */
export interface JobRequest {
	/** Opaque text that is passed to each task when it starts. */
	readonly spec: string
	readonly steps: readonly Step[]
	readonly repeat?: Repeat
}

/** State of a job. @public */
export const JobState = {
	/** Accepted; no task has started. */
	Queued: 'queued',
	/** The start of a task is decided; callers are told so once a worker is known to have started it. */
	Running: 'running',
	Completed: 'completed',
	/** A task, or a gang, has failed as often as its queue allows. */
	Failed: 'failed',
	Cancelled: 'cancelled',
} as const
/** One of the values of `JobState`. @public */
export type JobState = (typeof JobState)[keyof typeof JobState]

/** How a run of a task ended. @public */
export const RunEnd = {
	Done: 'done',
	/** It failed, by its own fault or that of its worker. */
	Failed: 'failed',
	/** It was stopped by an order. */
	Stopped: 'stopped',
	/** Its worker's lease expired. */
	LeaseExpired: 'lapsed',
	/** Another member of its gang ended. */
	GangMemberEnded: 'broken',
	/** It timed out waiting for the other members of its gang. */
	GangTimeout: 'alone',
	/** Its worker has ended or its lease is certainly over, and no end of the run was reported. */
	Lost: 'lost',
	/** Its worker refused to start it, and never will. */
	Refused: 'refused',
} as const
/** One of the values of `RunEnd`. @public */
export type RunEnd = (typeof RunEnd)[keyof typeof RunEnd]

/**
 * Identifies a task: job id, index of the repeat, index of the step and index within the step.
 * @public
 */
export interface TaskName {
	readonly job: string
	readonly repeat: number
	readonly step: number
	readonly index: number
}

/** @returns the name in text form; `parseTaskName` is the inverse. @public */
export function formatTaskName(name: TaskName): string {
	return `${name.job}.${name.repeat}.${name.step}.${name.index}`
}

/** @returns the name; undefined when the text is not a task name. @public */
export function parseTaskName(text: string): TaskName | undefined {
	const parts = text.split('.')
	if (parts.length !== 4) return undefined
	const [repeat, step, index] = parts.slice(1).map(Number)
	if (![repeat, step, index].every((part) => Number.isInteger(part) && part >= 0)) return undefined
	return { job: parts[0], repeat, step, index }
}
