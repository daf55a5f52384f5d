/** Rounds what the tasks of a job need to whole units, which can be added up without error. */
import { roundUp } from '@rillrudder/scheduler'
import type { JobRequest } from './Job'

/** @returns the job, with the needs of its tasks rounded up. @internal */
export function withWholeNeeds(request: JobRequest): JobRequest {
	const steps = request.steps.map((step) => ({ ...step, need: roundUp(step.need) }))
	return { ...request, steps }
}
