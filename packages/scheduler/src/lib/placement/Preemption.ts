/** Makes room for urgent work: throttles before it checkpoints, and checkpoints before it stops. */
import type { Random } from '@rillrudder/utils'
import { IntentKind } from '@rillrudder/settings'
import type { Ledger } from '../capacity/Ledger'
import { fits, minus, plus, type Resources } from '../capacity/Resources'
import { PreemptionMethod, type PreemptionDecision, type RunningTask, type Task } from './Task'

const WORKERS_LOOKED_AT = 64
const COST: Record<PreemptionMethod, number> = { throttle: 1, checkpoint: 10, stop: 100 }

interface Option {
	readonly running: RunningTask
	readonly how: PreemptionMethod
	readonly freed: Resources
}

/**
 * Moves batch work out of the way of urgent work.
 *
 * @internal
 */
export class Preemption {
	/** For each urgent task, the tasks that are still to make room. */
	private readonly awaited = new Map<string, Set<string>>()
	private readonly beneficiary = new Map<string, string>()

	constructor(
		private readonly ledger: Ledger,
		private readonly random: Random
	) {}

	/** Whether room is being made for this task. */
	awaits(task: string): boolean {
		return (this.awaited.get(task)?.size ?? 0) > 0
	}

	/** The task has been placed or withdrawn; whoever still moves, moves for nobody. */
	placed(task: string): void {
		for (const victim of this.awaited.get(task) ?? []) this.beneficiary.delete(victim)
		this.awaited.delete(task)
	}

	/** A task has gone. */
	left(running: RunningTask): void {
		this.done(running.task.id)
	}

	/** A task has been throttled. */
	slowed(running: RunningTask): void {
		this.done(running.task.id)
	}

	/** Chooses the worker, among some, where making room costs the least. */
	plan(task: Task, need: Resources, running: Map<string, RunningTask>): PreemptionDecision[] {
		const byWorker = this.sample(running)
		let best: Option[] = []
		let bestCost = Number.POSITIVE_INFINITY
		for (const [worker, there] of byWorker) {
			const options = this.optionsOn(worker, need, there)
			const cost = options.reduce((sum, option) => sum + COST[option.how], 0)
			if (options.length > 0 && cost < bestCost) {
				best = options
				bestCost = cost
			}
		}
		return best.map((option) => this.relieve(task, option))
	}

	private sample(running: Map<string, RunningTask>): Map<string, RunningTask[]> {
		const byWorker = new Map<string, RunningTask[]>()
		const movable = [...running.values()].filter(isMovable)
		if (movable.length === 0) return byWorker
		const wanted = new Set<string>()
		for (let count = 0; count < WORKERS_LOOKED_AT; count++) {
			wanted.add(this.random.pick(movable).worker)
		}
		for (const one of movable) {
			if (!wanted.has(one.worker)) continue
			const there = byWorker.get(one.worker) ?? []
			there.push(one)
			byWorker.set(one.worker, there)
		}
		return byWorker
	}

	/** The gentlest set that frees enough on a worker; empty when there is none. */
	private optionsOn(id: string, need: Resources, there: RunningTask[]): Option[] {
		const worker = this.ledger.find(id)
		if (!worker?.isOpen) return []
		const options = there.flatMap(waysToRelieve).sort((a, b) => COST[a.how] - COST[b.how])
		let free = worker.free
		const chosen = new Map<string, Option>()
		for (const option of options) {
			if (fits(need, free)) break
			const earlier = chosen.get(option.running.task.id)
			if (earlier) free = minus(free, earlier.freed)
			free = plus(free, option.freed)
			chosen.set(option.running.task.id, option)
		}
		return fits(need, free) ? [...chosen.values()] : []
	}

	private relieve(task: Task, option: Option): PreemptionDecision {
		const victim = option.running.task
		option.running.isBeingPreempted = true
		this.beneficiary.set(victim.id, task.id)
		const awaited = this.awaited.get(task.id) ?? new Set()
		awaited.add(victim.id)
		this.awaited.set(task.id, awaited)
		return {
			kind: 'relieve',
			task: victim,
			worker: option.running.worker,
			how: option.how,
			for: task.id,
		}
	}

	private done(victim: string): void {
		const task = this.beneficiary.get(victim)
		if (task === undefined) return
		this.beneficiary.delete(victim)
		this.awaited.get(task)?.delete(victim)
	}
}

/** Only batch work moves: services stay up, and a gang would have to move whole. */
function isMovable(running: RunningTask): boolean {
	const { kind, urgent } = running.task
	return kind === IntentKind.Batch && !urgent && !running.isBeingPreempted
}

function waysToRelieve(running: RunningTask): Option[] {
	const { task, reserved } = running
	const options: Option[] = []
	if (task.throttleTo !== undefined && task.throttleTo < reserved.cpu) {
		const freed = { cpu: reserved.cpu - task.throttleTo, memory: 0, accelerators: 0 }
		options.push({ running, how: PreemptionMethod.Throttle, freed })
	}
	const how = task.checkpoints ? PreemptionMethod.Checkpoint : PreemptionMethod.Stop
	options.push({ running, how, freed: reserved })
	return options
}
