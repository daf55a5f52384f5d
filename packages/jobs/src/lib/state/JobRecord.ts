/** A job with the progress of its tasks. */
import type { QuotaTerms } from '@rillrudder/scheduler'
import type { Queue } from '../records/Cell'
import { JobState, type JobRequest, type Step } from '../records/Job'
import type { TaskCrashes } from './TaskCrashes'

/** Where a task is. @public */
export const TaskStatus = {
	/** It has no run; whether it may begin is up to its step. */
	Waiting: 'waiting',
	/** A run of it has begun and not ended. */
	Placed: 'placed',
	Done: 'done',
} as const
/** One of the places. @public */
export type TaskStatus = (typeof TaskStatus)[keyof typeof TaskStatus]

/** One task. @public */
export interface TaskRecord extends TaskCrashes {
	status: TaskStatus
	/** Number of its latest run, from 1; 0 when it never began. */
	attempt: number
	/** The worker of its run while it is placed. */
	worker: string
	/** Runs that ended by a fault of the task or its worker. */
	failures: number
	checkpoint: string
	/** Whether an earlier run turned out done while this one goes on; it is done once this one has ended. */
	finished?: boolean
	/** The attempt that was seen at work after its beginning; noted of tasks that have lost workers. */
	seenAtWork?: number
	/** Attempts that were given up with nothing heard of them; their true end may still come. */
	lost?: number[]
}

/** The tasks of one step at one of the job's repeats. @public */
export interface StepRecord {
	readonly tasks: TaskRecord[]
	done: number
	/** Of a gang: attempts in which a member failed. */
	gangFailures: number[]
	/** Of a gang: whether a member has ended as done, which stands for all. */
	gangDone?: boolean
}

/** Everything that is kept of a job. @public */
export interface JobRecord {
	readonly id: string
	/** Its queue as it was configured when the job was accepted; a removed queue's jobs go on. */
	readonly queue: Queue
	readonly request: JobRequest
	/** The account that it belongs to for life, with its terms as they were configured then; absent for none. */
	readonly account?: QuotaTerms
	/** Whether its account sent it beyond its rate. */
	readonly beyondRate?: boolean
	/** Milliseconds since the epoch. */
	readonly submitted: number
	state: JobState
	/** When it reached its last state, milliseconds since the epoch; 0 before. */
	ended: number
	/** One list of steps for each repeat; a job that does not repeat has one. */
	readonly repeats: StepRecord[][]
}

/** @returns whether anything of the job may still run. @public */
export function isActive(job: JobRecord): boolean {
	return job.state === JobState.Queued || job.state === JobState.Running
}

/** A job that was accepted. @public */
export type Submission = Pick<
	JobRecord,
	'id' | 'queue' | 'request' | 'account' | 'beyondRate' | 'submitted'
>

/** @returns a fresh record. @public */
export function newJobRecord(submission: Submission): JobRecord {
	const { request } = submission
	const times = request.repeat && request.repeat.count > 0 ? request.repeat.count : 1
	const repeats = Array.from({ length: times }, () => request.steps.map(newStepRecord))
	return { ...submission, state: JobState.Queued, ended: 0, repeats }
}

function newStepRecord(step: Step): StepRecord {
	const tasks = Array.from({ length: step.count }, () => newTaskRecord())
	return { tasks, done: 0, gangFailures: [] }
}

function newTaskRecord(): TaskRecord {
	return { status: TaskStatus.Waiting, attempt: 0, worker: '', failures: 0, checkpoint: '' }
}

/** @returns whether all tasks of a step are done. @public */
export function isStepDone(step: StepRecord): boolean {
	return step.done === step.tasks.length
}

/** @returns whether the steps that a step waits for are done. @public */
export function isStepReady(job: JobRecord, repeat: number, step: number): boolean {
	const steps = job.repeats[repeat]
	return job.request.steps[step].dependsOn.every((earlier) => isStepDone(steps[earlier]))
}
