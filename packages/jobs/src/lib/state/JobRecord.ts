/** The stored record of a job, with the progress of its tasks. */
import type { QuotaTerms } from '@rillrudder/scheduler'
import type { Queue } from '../records/Cell'
import { JobState, type JobRequest, type Step } from '../records/Job'
import type { TaskCrashes } from './TaskCrashes'

/** Status of a task. @public */
export const TaskStatus = {
	/** It has no run; whether it may start depends on its step. */
	Waiting: 'waiting',
	/** A run of it has started and not ended. */
	Placed: 'placed',
	Done: 'done',
} as const
/** One of the values of `TaskStatus`. @public */
export type TaskStatus = (typeof TaskStatus)[keyof typeof TaskStatus]

/** One task. @public */
export interface TaskRecord extends TaskCrashes {
	status: TaskStatus
	/** Number of its latest run, from 1; 0 before the first. */
	attempt: number
	/** Id of its worker while it is placed; empty otherwise. */
	worker: string
	/** Number of runs that ended by a fault of the task or its worker. */
	failures: number
	checkpoint: string
	/**
	 * Whether an earlier run turned out to be done while this one is running; the task is done once
	 * this one ends.
	 */
	finished?: boolean
	/**
	 * The attempt that was seen at work after its start; recorded only for tasks that have lost
	 * workers.
	 */
	seenAtWork?: number
	/** Attempts that were abandoned without a reported end; that end may still arrive. */
	lost?: number[]
}

/** The tasks of one step in one repeat of the job. @public */
export interface StepRecord {
	readonly tasks: TaskRecord[]
	/** Number of tasks that are done. */
	done: number
	/** Of a gang: attempts in which a member failed. */
	gangFailures: number[]
	/** Of a gang: whether a member has ended as done, which counts for all members. */
	gangDone?: boolean
}

/** The stored record of a job. @public */
export interface JobRecord {
	readonly id: string
	/**
	 * Its queue as last configured, so that jobs outlive the removal of their queue; but the number of
	 * attempts is that with which the job was accepted, since its failures are counted against it.
	 */
	queue: Queue
	readonly request: JobRequest
	/** Its account, with the quota terms configured when the job was accepted; absent for none. */
	readonly account?: QuotaTerms
	/** Whether it was submitted beyond the rate of its account. */
	readonly beyondRate?: boolean
	/** When it was accepted, milliseconds since the epoch. */
	readonly submitted: number
	state: JobState
	/**
	 * Whether a worker has confirmed or listed a run of one of its tasks, or listed its end; absent
	 * while that is not known. It is in state running from when the start of a task is decided.
	 */
	begun?: true
	/** When it completed, failed or was cancelled, milliseconds since the epoch; 0 before. */
	ended: number
	/** The steps of each repeat; a job that does not repeat has one repeat. */
	readonly repeats: StepRecord[][]
}

/** @returns whether tasks of the job may still run. @public */
export function isActive(job: JobRecord): boolean {
	return job.state === JobState.Queued || job.state === JobState.Running
}

/** The fields of a job record that are set when the job is accepted. @public */
export type Submission = Pick<
	JobRecord,
	'id' | 'queue' | 'request' | 'account' | 'beyondRate' | 'submitted'
>

/** @returns a new record, with all tasks waiting. @public */
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

/** @returns whether all steps that a step depends on are done. @public */
export function isStepReady(job: JobRecord, repeat: number, step: number): boolean {
	const steps = job.repeats[repeat]
	return job.request.steps[step].dependsOn.every((earlier) => isStepDone(steps[earlier]))
}
