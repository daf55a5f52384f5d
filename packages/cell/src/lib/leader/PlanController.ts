/** Drafts a human-readable plan for an intent without placing any task. */
import {
	chooseWorker,
	SiblingCounts,
	times,
	explainInfeasibility,
	type Ledger,
	type Resources,
} from '@rillrudder/scheduler'
import { IntentKind, type Configuration, type Intent } from '@rillrudder/settings'
import type { PlanStep } from '../state/TaskTable'

/** Tasks that are placed tentatively one by one; the plan lists the remaining ones as waiting. */
const MAX_TRIAL_PLACEMENTS = 2000

/** A plan that is not yet in the log. @public */
export interface DraftPlan {
	readonly steps: PlanStep[]
	readonly impossible: string[]
}

interface TrialPlacement {
	readonly worker: string
	readonly rack: string
}

/**
 * Drafts plans.
 *
 * @internal
 */
export class PlanController {
	constructor(
		private readonly ledger: () => Ledger,
		private readonly configuration: () => Configuration,
		private readonly usage: (team: string) => Resources
	) {}

	/**
	 * @param intent - the intent to plan.
	 * @param name - id of the plan, part of its tasks' ids.
	 * @returns which tasks start where, which wait, and why; or why the intent is infeasible.
	 */
	draft(intent: Intent, name: string): DraftPlan {
		const quota = this.configuration().teams.find((team) => team.name === intent.team)?.quota
		const impossible = explainInfeasibility(this.ledger(), intent, quota)
		if (impossible.length > 0) return { steps: [], impossible }
		const allowed = this.allowedByQuota(intent, quota)
		const placements = this.placeTentatively(
			intent,
			Math.min(intent.tasks, allowed, MAX_TRIAL_PLACEMENTS)
		)
		const isComplete = intent.kind !== IntentKind.Gang || placements.length === intent.tasks
		const starting = isComplete ? placements : []
		const steps = startSteps(intent, name, starting)
		const left = intent.tasks - starting.length
		if (left > 0)
			steps.push(this.waitStep(intent, name, starting.length, allowed, placements.length))
		return { steps, impossible }
	}

	private allowedByQuota(intent: Intent, quota: Resources | undefined): number {
		if (!quota) return intent.tasks
		const used = this.usage(intent.team)
		let allowed = 0
		while (allowed < intent.tasks) {
			const after = times(intent.each, allowed + 1)
			const isWithinQuota =
				used.cpu + after.cpu <= quota.cpu &&
				used.memory + after.memory <= quota.memory &&
				used.accelerators + after.accelerators <= quota.accelerators
			if (!isWithinQuota) break
			allowed += 1
		}
		return allowed
	}

	/** Reserves capacity for one task after the other, and releases all reservations at the end. */
	private placeTentatively(intent: Intent, max: number): TrialPlacement[] {
		const ledger = this.ledger()
		const placements: TrialPlacement[] = []
		const siblings = new SiblingCounts()
		while (placements.length < max) {
			const there = siblings.countsOf(intent.name)
			const worker = chooseWorker(ledger, intent.each, intent.kind, there)
			if (!worker || !ledger.reserve(worker.id, intent.each)) break
			siblings.adjust(intent.name, worker.id, worker.rack, 1)
			placements.push({ worker: worker.id, rack: worker.rack })
		}
		for (const { worker } of placements) ledger.release(worker, intent.each)
		return placements
	}

	private waitStep(
		intent: Intent,
		name: string,
		started: number,
		allowed: number,
		fitting: number
	): PlanStep {
		const action = 'wait'
		const task = formatTaskRange(intent, name, started + 1, intent.tasks)
		return { action, task, where: '', why: waitReasonOf(intent, allowed, fitting) }
	}
}

function waitReasonOf(intent: Intent, allowed: number, fitting: number): string {
	if (allowed < intent.tasks) return `the quota of team ${intent.team} is used up`
	if (intent.kind === IntentKind.Gang) {
		return `only ${fitting} of ${intent.tasks} tasks fit now, and a gang starts whole`
	}
	if (intent.urgent) return 'no worker has enough free; batch work makes room for it'
	return 'no worker has enough free now'
}

/** @returns one step per rack, with the number of tasks on each of its workers. */
function startSteps(
	intent: Intent,
	name: string,
	placements: readonly TrialPlacement[]
): PlanStep[] {
	const racks = new Map<string, Map<string, number>>()
	for (const { worker, rack } of placements) {
		const workers = racks.get(rack) ?? new Map<string, number>()
		workers.set(worker, (workers.get(worker) ?? 0) + 1)
		racks.set(rack, workers)
	}
	let first = 1
	return [...racks].map(([rack, workers]) => {
		const count = [...workers.values()].reduce((sum, one) => sum + one, 0)
		const task = formatTaskRange(intent, name, first, first + count - 1)
		first += count
		const named = [...workers].map(([worker, one]) => (one === 1 ? worker : `${worker} x${one}`))
		return {
			action: 'start',
			task,
			where: `${rack}: ${named.join(', ')}`,
			why: startReasonOf(intent),
		}
	})
}

function startReasonOf(intent: Intent): string {
	switch (intent.kind) {
		case IntentKind.Service:
			return 'fits, spread over racks and workers'
		case IntentKind.Batch:
			return 'fits with the least left over'
		case IntentKind.Gang:
			return 'all tasks of the gang fit at once'
	}
}

function formatTaskRange(intent: Intent, name: string, first: number, last: number): string {
	const from = `${intent.name}/${name}/${first}`
	return first === last ? from : `${from}-${last}`
}
