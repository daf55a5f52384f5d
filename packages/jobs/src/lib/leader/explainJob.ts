/** Lists and describes jobs, including the reason why a job waits. */
import { countTasks } from '../records/checkJob'
import type { JobRequest, JobState } from '../records/Job'
import {
	isActive,
	isStepReady,
	TaskStatus,
	type JobRecord,
	type TaskRecord,
} from '../state/JobRecord'
import { suspicionOf, type LostWorker } from '../state/TaskCrashes'
import type { CellState } from '../state/CellState'
import type {
	JobExplanation,
	JobFilter,
	JobSummary,
	LossSummary,
	StepExplanation,
} from './callers/calls'
import type { StepScheduler } from './steps/StepScheduler'
import { stepName } from './steps/StepWork'

/** @returns the state of a job as callers and operators are told. */
type StateOf = (job: JobRecord) => JobState

/** A job's shape, as logged when the job is accepted. */
interface JobShape {
	readonly steps: number
	/** Total of all steps and repeats. */
	readonly tasks: number
	/** Thousandths of a processor that the task with the largest need requires. */
	readonly cpu: number
	/** Most accelerators that a task requires. */
	readonly accelerators: number
	readonly gang: boolean
}

/** @returns the jobs that match the filter, newest first. @internal */
export function listJobs(state: CellState, stateOf: StateOf, filter: JobFilter): JobSummary[] {
	const found: JobSummary[] = []
	for (const job of [...state.jobs.all()].reverse()) {
		if (filter.queue !== undefined && job.queue.name !== filter.queue) continue
		const told = stateOf(job)
		if (filter.state !== undefined && told !== filter.state) continue
		if (found.length >= filter.most) break
		found.push(summaryOf(job, told))
	}
	return found
}

/** @returns the state of a job and its steps, with the reason why tasks wait. @internal */
export function explainJob(
	state: CellState,
	stateOf: StateOf,
	steps: StepScheduler,
	job: JobRecord,
	term: number
): JobExplanation {
	const explained: StepExplanation[] = []
	job.repeats.forEach((_, repeat) => {
		job.request.steps.forEach((_step, number) => {
			explained.push(explainStep(steps, job, repeat, number))
		})
	})
	const configuration = state.configuration?.version ?? 0
	return { ...summaryOf(job, stateOf(job)), term, configuration, steps: explained }
}

/**
 * @returns the shape of a job for its log line: steps, tasks, the largest needs of a task, and
 * whether it has a gang.
 * @internal
 */
export function shapeOf(request: JobRequest): JobShape {
	const { steps } = request
	return {
		steps: steps.length,
		tasks: countTasks(request),
		cpu: Math.max(...steps.map((step) => step.need.cpu)),
		accelerators: Math.max(...steps.map((step) => step.need.accelerators)),
		gang: steps.some((step) => step.gang),
	}
}

function summaryOf(job: JobRecord, state: JobState): JobSummary {
	const { id, queue, submitted, ended } = job
	const steps = job.repeats.flat()
	const tasks = steps.reduce((sum, step) => sum + step.tasks.length, 0)
	const done = steps.reduce((sum, step) => sum + step.done, 0)
	const account = job.account?.name ?? ''
	return { id, queue: queue.name, account, state, submitted, ended, tasks, done }
}

function explainStep(
	steps: StepScheduler,
	job: JobRecord,
	repeat: number,
	number: number
): StepExplanation {
	const { tasks, done } = job.repeats[repeat][number]
	const workers: { [worker: string]: number } = {}
	let waiting = 0
	let failures = 0
	for (const task of tasks) {
		failures += task.failures
		if (task.status === TaskStatus.Waiting) waiting += 1
		if (task.worker !== '') workers[task.worker] = (workers[task.worker] ?? 0) + 1
	}
	return {
		step: stepName(job.id, repeat, number),
		tasks: tasks.length,
		done,
		placed: tasks.length - done - waiting,
		waiting,
		failures,
		losses: lossesOf(tasks),
		workers,
		reason: waiting === 0 ? '' : reasonOf(steps, job, repeat, number),
	}
}

function lossesOf(tasks: readonly TaskRecord[]): LossSummary[] {
	const losses: LossSummary[] = []
	tasks.forEach((task, index) => {
		const { crashed = [], silent = [] } = task
		if (crashed.length + silent.length === 0) return
		const suspicion = suspicionOf(task)
		losses.push({ index, suspicion, crashed: crashed.map(idOf), silent: silent.map(idOf) })
	})
	return losses
}

function idOf({ worker }: LostWorker): string {
	return worker
}

function reasonOf(steps: StepScheduler, job: JobRecord, repeat: number, number: number): string {
	if (!isActive(job)) return `the job is ${job.state}`
	if (!isStepReady(job, repeat, number)) return 'earlier steps are not done'
	return steps.explainWaitByName(stepName(job.id, repeat, number))
}
