/**
 * Preempts batch work for urgent work: prefers throttling to checkpointing, and checkpointing to
 * stopping.
 */
import type { Random } from '@rillrudder/utils'
import { IntentKind } from '@rillrudder/settings'
import type { Ledger } from '../capacity/Ledger'
import { fits, minus, plus, type Resources } from '../capacity/Resources'
import { PreemptionMethod, type PreemptionDecision, type RunningTask, type Task } from './Task'

/** The number of preemptible tasks that are drawn at random; their workers are considered. */
const SAMPLE_SIZE = 64
/** Relative cost of each method. */
const COST: Record<PreemptionMethod, number> = { throttle: 1, checkpoint: 10, stop: 100 }

interface PreemptionOption {
	readonly running: RunningTask
	readonly how: PreemptionMethod
	readonly freed: Resources
}

/**
 * Preempts batch work for urgent work.
 *
 * @internal
 */
export class Preemption {
	/** The tasks that are being preempted, by the urgent task that they are preempted for. */
	private readonly victims = new Map<string, Set<string>>()
	private readonly beneficiaries = new Map<string, string>()

	constructor(
		private readonly ledger: Ledger,
		private readonly random: Random
	) {}

	/** Whether tasks are being preempted for the given task. */
	isPreemptingFor(task: string): boolean {
		return (this.victims.get(task)?.size ?? 0) > 0
	}

	/**
	 * Handles the placement of an urgent task: preemptions still in progress no longer have a
	 * beneficiary.
	 */
	onPlaced(task: string): void {
		for (const victim of this.victims.get(task) ?? []) this.beneficiaries.delete(victim)
		this.victims.delete(task)
	}

	/** Handles the end of a task. */
	onEnded(running: RunningTask): void {
		this.onPreempted(running.task.id)
	}

	/** Handles the throttling of a task. */
	onThrottled(running: RunningTask): void {
		this.onPreempted(running.task.id)
	}

	/**
	 * Chooses the worker where preemption costs the least, among a random sample.
	 *
	 * @param task - the urgent task.
	 * @param need - what it needs.
	 * @param running - all running tasks, by id.
	 * @returns the preemptions to carry out; empty if none would free enough.
	 */
	plan(task: Task, need: Resources, running: Map<string, RunningTask>): PreemptionDecision[] {
		const byWorker = this.sample(running)
		let best: PreemptionOption[] = []
		let bestCost = Number.POSITIVE_INFINITY
		for (const [worker, runningThere] of byWorker) {
			const options = this.optionsOn(worker, need, runningThere)
			const cost = options.reduce((sum, option) => sum + COST[option.how], 0)
			if (options.length > 0 && cost < bestCost) {
				best = options
				bestCost = cost
			}
		}
		return best.map((option) => this.preempt(task, option))
	}

	private sample(running: Map<string, RunningTask>): Map<string, RunningTask[]> {
		const byWorker = new Map<string, RunningTask[]>()
		const preemptible = [...running.values()].filter(isPreemptible)
		if (preemptible.length === 0) return byWorker
		const sampled = new Set<string>()
		for (let count = 0; count < SAMPLE_SIZE; count++) {
			sampled.add(this.random.pick(preemptible).worker)
		}
		for (const one of preemptible) {
			if (!sampled.has(one.worker)) continue
			const runningThere = byWorker.get(one.worker) ?? []
			runningThere.push(one)
			byWorker.set(one.worker, runningThere)
		}
		return byWorker
	}

	/** The options, cheapest first, that free enough on a worker; empty if there are none. */
	private optionsOn(id: string, need: Resources, runningThere: RunningTask[]): PreemptionOption[] {
		const worker = this.ledger.find(id)
		if (!worker?.isOpen) return []
		const options = runningThere.flatMap(optionsFor).sort((a, b) => COST[a.how] - COST[b.how])
		let free = worker.free
		const chosen = new Map<string, PreemptionOption>()
		for (const option of options) {
			if (fits(need, free)) break
			const earlier = chosen.get(option.running.task.id)
			if (earlier) free = minus(free, earlier.freed)
			free = plus(free, option.freed)
			chosen.set(option.running.task.id, option)
		}
		return fits(need, free) ? [...chosen.values()] : []
	}

	private preempt(task: Task, option: PreemptionOption): PreemptionDecision {
		const victim = option.running.task
		option.running.isBeingPreempted = true
		this.beneficiaries.set(victim.id, task.id)
		const victims = this.victims.get(task.id) ?? new Set()
		victims.add(victim.id)
		this.victims.set(task.id, victims)
		return {
			kind: 'relieve',
			task: victim,
			worker: option.running.worker,
			how: option.how,
			for: task.id,
		}
	}

	private onPreempted(victim: string): void {
		const task = this.beneficiaries.get(victim)
		if (task === undefined) return
		this.beneficiaries.delete(victim)
		this.victims.get(task)?.delete(victim)
	}
}

/**
 * Only batch work is preempted: services stay up, and a gang could only be preempted as a whole.
 */
function isPreemptible(running: RunningTask): boolean {
	const { kind, urgent } = running.task
	return kind === IntentKind.Batch && !urgent && !running.isBeingPreempted
}

function optionsFor(running: RunningTask): PreemptionOption[] {
	const { task, reserved } = running
	const options: PreemptionOption[] = []
	if (task.throttleTo !== undefined && task.throttleTo < reserved.cpu) {
		const freed = { cpu: reserved.cpu - task.throttleTo, memory: 0, accelerators: 0 }
		options.push({ running, how: PreemptionMethod.Throttle, freed })
	}
	const how = task.checkpoints ? PreemptionMethod.Checkpoint : PreemptionMethod.Stop
	options.push({ running, how, freed: reserved })
	return options
}
