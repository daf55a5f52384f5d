/**
 * Estimates the speeds of workers from the run times of sibling tasks. The logarithm of a task's
 * time is modelled as that of its step's time, less that of its worker's speed, plus a residual of
 * the task itself. An iterative least-squares fit over all steps that share workers separates step
 * times from worker speeds; the deviations of outliers are clipped.
 */
import { evidenceWeightOf, type TaskTime } from './SiblingTimes'
import { referenceLogSpeedOf } from './referenceLogSpeedOf'

/**
 * Iterations of one estimate. Each estimate starts from the previous one, so that few are enough.
 */
const ITERATIONS = 4
/**
 * Share of a correction that is applied per iteration: two workers that share steps only with each
 * other would oscillate otherwise.
 */
const DAMPING = 0.5
/**
 * Clipping bound of a task's deviation, as a logarithm; siblings differ by a third among
 * themselves.
 */
const MAX_DEVIATION = 0.6
/** Lower bound of the estimated standard deviation among siblings, as a logarithm. */
const MIN_NOISE = 0.1

/** The estimate of a worker's speed. @internal */
export interface SpeedEstimate {
	/** Natural logarithm of its speed relative to the median worker, whose value is 0. */
	readonly log: number
	/** Standard error of that. */
	readonly error: number
	/**
	 * Effective number of tasks: each counts less the older it is and the fewer siblings it has on
	 * other workers.
	 */
	readonly evidence: number
	/** When the latest of these tasks was observed, on the leader's clock. */
	readonly at: number
}

/** The tasks of one worker in a group of siblings. */
interface WorkerSamples {
	/** Index of the worker. */
	readonly worker: number
	/** Logarithms of the paces of its tasks, not normalized by the pace of the group. */
	readonly paces: readonly number[]
	readonly weights: readonly number[]
	/** Sum of the weights. */
	readonly weight: number
	/** When the latest task was observed. */
	readonly at: number
}

/** The tasks of one step on different workers. */
interface SiblingGroup {
	readonly samples: readonly WorkerSamples[]
	readonly weight: number
	readonly tasks: number
}

/** The sums of one iteration; arrays are by index of the worker. */
interface Iteration {
	readonly corrections: Float64Array
	readonly weights: Float64Array
	/** Weighted sum of the tasks' squared deviations. */
	squaredDeviations: number
	/** Effective number of independent deviations in that sum. */
	degreesOfFreedom: number
}

/**
 * @param siblingTimes - the observed times of sibling tasks, by group.
 * @param before - the previous estimate: logarithms of speeds, by worker.
 * @param now - the moment, on the leader's clock.
 * @returns the new estimates, by worker.
 * @internal
 */
export function estimateSpeeds(
	siblingTimes: Iterable<readonly TaskTime[]>,
	before: ReadonlyMap<string, number>,
	now: number
): Map<string, SpeedEstimate> {
	const indices = new Map<string, number>()
	const groups: SiblingGroup[] = []
	for (const tasks of siblingTimes) {
		const group = groupOf(tasks, indices, now)
		if (group.samples.length > 1) groups.push(group)
	}
	const logs = Float64Array.from(indices.keys(), (worker) => before.get(worker) ?? 0)
	let iteration = iterate(groups, logs)
	for (let count = 1; count < ITERATIONS; count++) iteration = iterate(groups, logs)
	return summarize(indices, logs, iteration, latestOf(groups, logs.length))
}

function groupOf(
	tasks: readonly TaskTime[],
	indices: Map<string, number>,
	now: number
): SiblingGroup {
	const byWorker = new Map<string, TaskTime[]>()
	for (const task of tasks) {
		const own = byWorker.get(task.worker)
		if (own) own.push(task)
		else byWorker.set(task.worker, [task])
	}
	const samples = [...byWorker].map(([id, own]) => {
		const worker = indices.get(id) ?? indices.size
		indices.set(id, worker)
		const weights = own.map((task) => evidenceWeightOf(task, now))
		return {
			worker,
			paces: own.map(({ time }) => -time),
			weights,
			weight: weights.reduce((sum, one) => sum + one, 0),
			at: Math.max(...own.map(({ at }) => at)),
		}
	})
	return {
		samples,
		weight: samples.reduce((sum, { weight }) => sum + weight, 0),
		tasks: tasks.length,
	}
}

/** Compares each worker's tasks with their siblings on other workers, and corrects its speed. */
function iterate(groups: readonly SiblingGroup[], logs: Float64Array): Iteration {
	const corrections = new Float64Array(logs.length)
	const iteration = {
		corrections,
		weights: new Float64Array(logs.length),
		squaredDeviations: 0,
		degreesOfFreedom: 0,
	}
	for (const group of groups) addGroup(group, logs, iteration)
	for (let worker = 0; worker < logs.length; worker++) {
		const weight = iteration.weights[worker]
		if (weight > 0) logs[worker] += (DAMPING * corrections[worker]) / weight
	}
	return iteration
}

function addGroup(group: SiblingGroup, logs: Float64Array, iteration: Iteration): void {
	const level = referencePaceOf(group, logs)
	const deviations = group.samples.map((sample) =>
		clippedDeviationOf(sample, logs[sample.worker] + level, iteration)
	)
	const total = deviations.reduce((sum, deviation) => sum + deviation, 0)
	iteration.degreesOfFreedom += group.weight * (1 - 1 / group.tasks)
	group.samples.forEach(({ worker, weight }, index) => {
		const others = group.weight - weight
		const difference = deviations[index] / weight - (total - deviations[index]) / others
		const effectiveWeight = (weight * others) / group.weight
		iteration.corrections[worker] += difference * effectiveWeight
		iteration.weights[worker] += effectiveWeight
	})
}

/**
 * The pace that a group's tasks would have on a worker of median speed, by the current estimates.
 */
function referencePaceOf({ samples, weight }: SiblingGroup, logs: Float64Array): number {
	let sum = 0
	for (const { worker, paces, weights } of samples) {
		for (let index = 0; index < paces.length; index++) {
			sum += (paces[index] - logs[worker]) * weights[index]
		}
	}
	return sum / weight
}

/**
 * The weighted sum of the deviations of a worker's tasks from the expected pace, each clipped to
 * the bound.
 */
function clippedDeviationOf(
	{ paces, weights }: WorkerSamples,
	expected: number,
	iteration: Iteration
): number {
	let sum = 0
	for (let index = 0; index < paces.length; index++) {
		const deviation = Math.max(-MAX_DEVIATION, Math.min(MAX_DEVIATION, paces[index] - expected))
		sum += deviation * weights[index]
		iteration.squaredDeviations += deviation * deviation * weights[index]
	}
	return sum
}

function latestOf(groups: readonly SiblingGroup[], workers: number): Float64Array {
	const latest = new Float64Array(workers)
	for (const { samples } of groups) {
		for (const { worker, at } of samples) latest[worker] = Math.max(latest[worker], at)
	}
	return latest
}

function summarize(
	indices: ReadonlyMap<string, number>,
	logs: Float64Array,
	{ weights, squaredDeviations, degreesOfFreedom }: Iteration,
	latest: Float64Array
): Map<string, SpeedEstimate> {
	const seen = [...indices].filter(([, worker]) => weights[worker] > 0)
	const level = referenceLogSpeedOf(seen.map(([, worker]) => logs[worker]))
	const noise = Math.max(
		MIN_NOISE,
		Math.sqrt(squaredDeviations / Math.max(degreesOfFreedom, Number.EPSILON))
	)
	const estimates = seen.map(([id, worker]): [string, SpeedEstimate] => {
		const evidence = weights[worker]
		const error = noise / Math.sqrt(evidence)
		return [id, { log: logs[worker] - level, error, evidence, at: latest[worker] }]
	})
	return new Map(estimates)
}
