/** Compares the final state of jobs, as clients read it, with what the workers did. */
import { JobState, type JobRecord, type JobRequest } from '@rillrudder/jobs'
import { invariant } from '@rillrudder/utils'
import type { JobInvariants } from './JobInvariants'

/** A job that a client of a run submits. @internal */
export interface SubmittedJob {
	readonly id: string
	readonly request: JobRequest
	isAccepted: boolean
	/** Number of calls without an answer: each of them may have submitted the job. */
	unansweredCalls: number
	/** Whether the job was refused permanently, and no earlier call may have submitted it. */
	isRefused: boolean
	/** Number of calls that were refused because the leader was overloaded. */
	refusals: number
	/** Whether a call was refused after one that may have submitted the job. */
	isUncertain: boolean
	isCancelRequested: boolean
	isCancelled: boolean
}

/**
 * @param submitted - a job that a client submitted, with the answers it got.
 * @param job - the record in the replicated state; undefined if there is none.
 * @param invariants - the record of what the workers did.
 * @param hasCrashingTask - whether one of its tasks crashes the workers that start it.
 * @throws InvariantBroken when the record contradicts them.
 * @internal
 */
export function checkOutcome(
	{ id, request, isAccepted, isRefused, isUncertain, isCancelled }: SubmittedJob,
	job: JobRecord | undefined,
	invariants: JobInvariants,
	hasCrashingTask = false
): void {
	invariant(!isRefused || !job || isAccepted, 'a job that was refused is not kept', { id })
	if ((isRefused || isUncertain) && !isAccepted) return
	invariant(isAccepted, 'every job is accepted in the end', { id })
	invariant(job !== undefined, 'an accepted job is kept', { id })
	if (isCancelled) return
	const tasks = tasksOf(id, request)
	switch (job.state) {
		case JobState.Completed:
			for (const task of tasks) {
				invariant(invariants.isDone(task), 'a completed job has done all its tasks', { task })
			}
			return
		case JobState.Failed: {
			const hasFailedTask = tasks.some((task) => invariants.hasFailed(task))
			invariant(
				hasFailedTask || hasCrashingTask || hasGang(request),
				'a failed job has failed for a cause',
				{ id }
			)
			return
		}
		case JobState.Running:
		case JobState.Queued:
			invariant(!hasCrashingTask, 'a job with a task that crashes its workers ends', { id })
			for (const task of tasks) checkLasting(request, task, invariants)
			return
		case JobState.Cancelled:
			invariant(false, 'only cancelled jobs are shown so', { id })
	}
}

function checkLasting(request: JobRequest, task: string, invariants: JobInvariants): void {
	const step = request.steps[Number(task.split('.')[2])]
	invariant(step.lasting, 'an accepted job ends', { task })
	invariant(invariants.liveRuns(task) === 1, 'a lasting task is at work', { task })
}

function tasksOf(id: string, { steps, repeat }: JobRequest): string[] {
	const names: string[] = []
	for (let time = 0; time < (repeat?.count ?? 1); time++) {
		steps.forEach(({ count }, step) => {
			for (let index = 0; index < count; index++) names.push(`${id}.${time}.${step}.${index}`)
		})
	}
	return names
}

function hasGang({ steps }: JobRequest): boolean {
	return steps.some((step) => step.gang)
}
