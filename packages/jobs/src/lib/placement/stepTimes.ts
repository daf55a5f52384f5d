/**
 * Computes when the steps of a job have to start, from its declared times and the terms of its
 * queue.
 */
import type { Queue } from '../records/Cell'
import type { JobRequest, Step } from '../records/Job'
import type { JobRecord } from '../state/JobRecord'
import type { StepTimes } from './StepUrgency'

/**
 * Workers assumed per question for advice when computing the objective of a job; clients compute it
 * the same way.
 */
const ADVISED_WORKERS = 30

/**
 * @param request - a job.
 * @param queue - its queue.
 * @returns milliseconds that one of its repeats may take: its longest chain of declared times and
 * of questions for advice, multiplied by the queue's stretch, plus its latency target.
 * @internal
 */
export function objectiveOf({ steps }: JobRequest, queue: Queue): number {
	return toObjective(remainingChains(steps, queue), queue)
}

/** Multiple of its objective after which a job is no longer useful to its caller. */
const USEFUL_FACTOR = 3

/** @returns when a step of one of a job's repeats has to start. @internal */
export function stepTimesOf(job: JobRecord, repeat: number, step: number): StepTimes {
	const { queue } = job
	const { steps, repeat: terms } = job.request
	const since = terms ? terms.first + repeat * terms.interval : job.submitted
	// A lasting task has no end to meet a deadline with: its deadline is to be running, and to run
	// again right after an interruption.
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

/**
 * For each step, the milliseconds that it and the longest chain of steps after it are expected to
 * take.
 */
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
