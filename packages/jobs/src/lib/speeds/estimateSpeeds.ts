/**
 * Estimates the speeds of workers from the times of siblings: the logarithm of a task's time is its step's, less that of its worker's
 * speed, and what the task has of its own. Steps and workers are told apart by least squares over all steps that share workers; what is far
 * off counts no more than what is a bound off.
 */
import { evidenceWeightOf, type TaskTime } from './SiblingTimes'
import { referenceLogSpeedOf } from './referenceLogSpeedOf'

/** Rounds of one estimate; it goes on from the one before, so few are enough. */
const ROUNDS = 4
/** Share of each correction that is made at once: two workers that only know each other would swing otherwise. */
const DAMPING = 0.5
/** How far off a task counts at most, as a logarithm; siblings differ by a third among themselves. */
const FARTHEST = 0.6
/** What siblings are taken to differ by at least, as a logarithm. */
const LEAST_NOISE = 0.1

/** What is known of a worker's speed. @internal */
export interface SpeedEstimate {
	/** Natural logarithm of its speed; 0 is the median worker. */
	readonly log: number
	/** Standard error of that. */
	readonly error: number
	/** How many tasks tell it, each counted less the older it is and the fewer siblings it had elsewhere. */
	readonly evidence: number
	/** When the latest of them told, on the leader's clock. */
	readonly at: number
}

/** The tasks of one worker in a group of siblings. */
interface Part {
	/** Number of the worker. */
	readonly worker: number
	/** Logarithms of the paces of its tasks; of the group's own level nothing is taken off. */
	readonly paces: readonly number[]
	readonly weights: readonly number[]
	/** Sum of the weights. */
	readonly weight: number
	/** When the latest told. */
	readonly at: number
}

/** The same step's tasks on different workers. */
interface Group {
	readonly parts: readonly Part[]
	readonly weight: number
	readonly tasks: number
}

/** What a round adds up, by number of a worker. */
interface Round {
	readonly corrections: Float64Array
	readonly weights: Float64Array
	/** Sum of the squares by which tasks are off, and of their weights. */
	squares: number
	counted: number
}

/**
 * @param told - what siblings told, group by group.
 * @param before - the estimate before, logarithms by worker.
 * @param now - the moment, on the leader's clock.
 * @returns what is known, by worker.
 * @internal
 */
export function estimateSpeeds(
	told: Iterable<readonly TaskTime[]>,
	before: ReadonlyMap<string, number>,
	now: number
): Map<string, SpeedEstimate> {
	const numbers = new Map<string, number>()
	const groups: Group[] = []
	for (const tasks of told) {
		const group = groupOf(tasks, numbers, now)
		if (group.parts.length > 1) groups.push(group)
	}
	const logs = Float64Array.from(numbers.keys(), (worker) => before.get(worker) ?? 0)
	let round = runRound(groups, logs)
	for (let count = 1; count < ROUNDS; count++) round = runRound(groups, logs)
	return summarize(numbers, logs, round, latestOf(groups, logs.length))
}

function groupOf(tasks: readonly TaskTime[], numbers: Map<string, number>, now: number): Group {
	const byWorker = new Map<string, TaskTime[]>()
	for (const task of tasks) {
		const own = byWorker.get(task.worker)
		if (own) own.push(task)
		else byWorker.set(task.worker, [task])
	}
	const parts = [...byWorker].map(([id, own]) => {
		const worker = numbers.get(id) ?? numbers.size
		numbers.set(id, worker)
		const weights = own.map((task) => evidenceWeightOf(task, now))
		return {
			worker,
			paces: own.map(({ time }) => -time),
			weights,
			weight: weights.reduce((sum, one) => sum + one, 0),
			at: Math.max(...own.map(({ at }) => at)),
		}
	})
	return { parts, weight: parts.reduce((sum, { weight }) => sum + weight, 0), tasks: tasks.length }
}

/** Compares each worker's tasks with their siblings elsewhere, and corrects its speed. */
function runRound(groups: readonly Group[], logs: Float64Array): Round {
	const corrections = new Float64Array(logs.length)
	const round = { corrections, weights: new Float64Array(logs.length), squares: 0, counted: 0 }
	for (const group of groups) addGroup(group, logs, round)
	for (let worker = 0; worker < logs.length; worker++) {
		const weight = round.weights[worker]
		if (weight > 0) logs[worker] += (DAMPING * corrections[worker]) / weight
	}
	return round
}

function addGroup(group: Group, logs: Float64Array, round: Round): void {
	const level = middleOf(group, logs)
	const offs = group.parts.map((part) => offOf(part, logs[part.worker] + level, round))
	const total = offs.reduce((sum, off) => sum + off, 0)
	round.counted += group.weight * (1 - 1 / group.tasks)
	group.parts.forEach(({ worker, weight }, index) => {
		const others = group.weight - weight
		const difference = offs[index] / weight - (total - offs[index]) / others
		const counts = (weight * others) / group.weight
		round.corrections[worker] += difference * counts
		round.weights[worker] += counts
	})
}

/** The pace that a group's tasks would have on a worker of median speed, by the estimates so far. */
function middleOf({ parts, weight }: Group, logs: Float64Array): number {
	let sum = 0
	for (const { worker, paces, weights } of parts) {
		for (let index = 0; index < paces.length; index++) {
			sum += (paces[index] - logs[worker]) * weights[index]
		}
	}
	return sum / weight
}

/** By how much a worker's tasks are off together; none counts for more than the bound. */
function offOf({ paces, weights }: Part, expected: number, round: Round): number {
	let sum = 0
	for (let index = 0; index < paces.length; index++) {
		const off = Math.max(-FARTHEST, Math.min(FARTHEST, paces[index] - expected))
		sum += off * weights[index]
		round.squares += off * off * weights[index]
	}
	return sum
}

function latestOf(groups: readonly Group[], workers: number): Float64Array {
	const latest = new Float64Array(workers)
	for (const { parts } of groups) {
		for (const { worker, at } of parts) latest[worker] = Math.max(latest[worker], at)
	}
	return latest
}

function summarize(
	numbers: ReadonlyMap<string, number>,
	logs: Float64Array,
	{ weights, squares, counted }: Round,
	latest: Float64Array
): Map<string, SpeedEstimate> {
	const seen = [...numbers].filter(([, worker]) => weights[worker] > 0)
	const level = referenceLogSpeedOf(seen.map(([, worker]) => logs[worker]))
	const noise = Math.max(LEAST_NOISE, Math.sqrt(squares / Math.max(counted, Number.EPSILON)))
	const estimates = seen.map(([id, worker]): [string, SpeedEstimate] => {
		const evidence = weights[worker]
		const error = noise / Math.sqrt(evidence)
		return [id, { log: logs[worker] - level, error, evidence, at: latest[worker] }]
	})
	return new Map(estimates)
}
