/** Validates a job beyond the types of its fields. */
import type { Finding } from '@rillrudder/utils'
import type { JobRequest, Step } from './Job'

/** Limit of `JobRequest.spec` in bytes. @public */
export const MAX_SPEC_BYTES = 4000
/** Limit of the steps of a job; bounds the state that one submission can create. @public */
export const MAX_STEPS = 64
/** Limit of the tasks of a step, for the same reason. @public */
export const MAX_TASKS_PER_STEP = 2000
/** Limit of the repeats of a job, for the same reason. @public */
export const MAX_REPEATS = 1000
/**
 * Limit of the tasks of a job in all steps and repeats; a stored task takes about 100 bytes.
 * @public
 */
export const MAX_TASKS_PER_JOB = 20_000

/** @returns the number of tasks of a job in all steps and repeats. @public */
export function countTasks({ steps, repeat }: JobRequest): number {
	const once = steps.reduce((sum, step) => sum + step.count, 0)
	return once * Math.max(1, repeat?.count ?? 1)
}

/**
 * @param job - a job whose fields have the right types.
 * @returns the findings; empty when the job can be accepted.
 * @public
 */
export function checkJob(job: JobRequest): Finding[] {
	const findings: Finding[] = []
	const add = (path: string, message: string): void => {
		findings.push({ place: { source: 'job', path }, message })
	}
	if (Buffer.byteLength(job.spec) > MAX_SPEC_BYTES) {
		add('spec', `is longer than ${MAX_SPEC_BYTES} bytes`)
	}
	if (job.steps.length === 0) add('steps', 'is empty')
	if (job.steps.length > MAX_STEPS) add('steps', `has more than ${MAX_STEPS} steps`)
	job.steps.forEach((step, index) => checkStep(step, index, add))
	if (countTasks(job) > MAX_TASKS_PER_JOB) {
		add('steps', `has more than ${MAX_TASKS_PER_JOB} tasks in all repeats`)
	}
	const { repeat } = job
	if (repeat && repeat.count > MAX_REPEATS) add('repeat', `has more than ${MAX_REPEATS} repeats`)
	if (repeat && repeat.interval < 0) add('repeat', 'has an interval below 0')
	return findings
}

function checkStep(step: Step, index: number, add: (path: string, message: string) => void): void {
	const path = `steps[${index}]`
	if (!Number.isInteger(step.count) || step.count < 1) add(path, 'has no task')
	if (step.count > MAX_TASKS_PER_STEP) add(path, `has more than ${MAX_TASKS_PER_STEP} tasks`)
	const { cpu, memory, accelerators } = step.need
	if (cpu < 0 || memory < 0 || accelerators < 0) add(path, 'has a negative amount in need')
	for (const earlier of step.dependsOn) {
		const valid = Number.isInteger(earlier) && earlier >= 0 && earlier < index
		if (!valid) add(`${path}.dependsOn`, `refers to ${earlier}, which is not an earlier step`)
	}
}
