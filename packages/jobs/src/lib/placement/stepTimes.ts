/** When the steps of a job have to begin, from the times that it declares and the terms of its queue. */
import type { Queue } from '../records/Cell'
import type { JobRequest, Step } from '../records/Job'
import type { JobRecord } from '../state/JobRecord'
import type { StepTimes } from './StepUrgency'

/** Workers that one question for advice is taken to name when a job's objective is told; the users reckon so too. */
const ADVISED_WORKERS = 30

/**
 * @param request - a job.
 * @param queue - its queue.
 * @returns milliseconds that one of its repeats may take: its longest chain of declared times and of
 * questions for advice, stretched.
 * @internal
 */
export function objectiveOf({ steps }: JobRequest, queue: Queue): number {
	return toObjective(remainingChains(steps, queue), queue)
}

/** Times its objective after which a job is of no use to its caller. */
const USEFUL_FACTOR = 3

/** @returns when a step of one of a job's repeats has to begin. @internal */
export function stepTimesOf(job: JobRecord, repeat: number, step: number, queue: Queue): StepTimes {
	const { steps, repeat: terms } = job.request
	const since = terms ? terms.first + repeat * terms.interval : job.submitted
	// A lasting task has no end to be in time for: it should be at work, and again at once when it was interrupted.
	if (steps[step].lasting) {
		return { deadline: since + queue.latencyTarget, usefulUntil: Infinity, remaining: 0 }
	}
	const chains = remainingChains(steps, queue)
	const objective = toObjective(chains, queue)
	const usefulUntil = since + objective * USEFUL_FACTOR
	return { deadline: since + objective, usefulUntil, remaining: chains[step] }
}

function toObjective(chains: readonly number[], { latencyTarget, stretch }: Queue): number {
	return latencyTarget + stretch * Math.max(0, ...chains)
}

/** For each step the milliseconds that it and the longest chain of steps after it are expected to take. */
function remainingChains(steps: readonly Step[], { advice }: Queue): number[] {
	const asking = advice ? advice.base + advice.each * ADVISED_WORKERS : 0
	const chains = steps.map((step) => step.expectedTime + asking)
	for (let number = steps.length - 1; number >= 0; number--) {
		for (const earlier of steps[number].dependsOn) {
			const through = steps[earlier].expectedTime + asking + chains[number]
			chains[earlier] = Math.max(chains[earlier], through)
		}
	}
	return chains
}
