/** Intents, their plans and their tasks. */
import type { Resources, Task } from '@rillrudder/scheduler'
import { IntentKind, type Intent } from '@rillrudder/settings'
import type { CommandOf } from '../commands/DataCentreCommand'

const DEFAULT_RUN_TIME_MS = 600_000

/** The lifecycle phases of a plan. @public */
export const PlanPhase = {
	Proposed: 'proposed',
	Confirmed: 'confirmed',
	Rejected: 'rejected',
} as const
/** One of the phases. @public */
export type PlanPhase = (typeof PlanPhase)[keyof typeof PlanPhase]

/** One line of a plan. @public */
export interface PlanStep {
	/** `start`, `wait`, `throttle`, `checkpoint` or `stop`. */
	readonly action: string
	readonly task: string
	readonly where: string
	readonly why: string
}

/** The replicated record of a plan. @public */
export interface PlanRecord {
	readonly id: string
	readonly intent: Intent
	readonly ground: number
	readonly steps: readonly PlanStep[]
	readonly impossible: readonly string[]
	phase: PlanPhase
}

/** The lifecycle phases of a task. @public */
export const TaskPhase = {
	Waiting: 'waiting',
	Placed: 'placed',
	Done: 'done',
	Cancelled: 'cancelled',
} as const
/** One of the phases. @public */
export type TaskPhase = (typeof TaskPhase)[keyof typeof TaskPhase]

/** The replicated record of a task. @public */
export interface TaskRecord {
	readonly task: Task
	readonly command: readonly string[]
	phase: TaskPhase
	worker: string
	reserved?: Resources
	/** Log index of its newest placement; a worker refuses orders with a lower one. */
	fence: number
	/** When it was placed, milliseconds since the epoch. */
	placedAt: number
	/** Consecutive losses of its worker; absent in records that predate this field. */
	losses?: number
	/** Time of the last loss, milliseconds since the epoch. */
	lostAt?: number
	/** Whether it was cancelled; a placed task is then stopped on its worker. */
	cancelled: boolean
	/** Human-readable history, newest entry last. */
	readonly history: string[]
}

const MAX_HISTORY_LINES = 12
/** Time on one worker after which earlier losses no longer count; many times the lease of a lost run. */
const LOSS_RESET_MS = 600_000
const MAX_ENDED_TASKS = 20_000

/**
 * Plans and tasks.
 *
 * @public
 */
export class TaskTable {
	private readonly plans = new Map<string, PlanRecord>()
	private readonly tasks = new Map<string, TaskRecord>()
	private readonly intents = new Map<string, string[]>()
	private ended: string[] = []

	/** @returns a plan, if it is known. */
	plan(id: string): PlanRecord | undefined {
		return this.plans.get(id)
	}

	/** @returns a task, if it is known. */
	find(id: string): TaskRecord | undefined {
		return this.tasks.get(id)
	}

	/** @returns all tasks that are known. */
	all(): IterableIterator<TaskRecord> {
		return this.tasks.values()
	}

	/** @returns the tasks of an intent; empty when it is not known. */
	ofIntent(name: string): TaskRecord[] {
		return (this.intents.get(name) ?? []).flatMap((id) => this.tasks.get(id) ?? [])
	}

	/** @returns whether an intent of this name has tasks that have not ended. */
	isActive(name: string): boolean {
		return this.ofIntent(name).some((record) => !hasEnded(record))
	}

	/** Adds a proposed plan. */
	propose(command: CommandOf<'plan'>): void {
		const { id, intent, ground, steps, impossible } = command
		this.plans.set(id, { id, intent, ground, steps, impossible, phase: PlanPhase.Proposed })
	}

	/** Creates the tasks of a confirmed plan. */
	confirm(plan: PlanRecord, at: number): TaskRecord[] {
		plan.phase = PlanPhase.Confirmed
		const created: TaskRecord[] = []
		for (let number = 1; number <= plan.intent.tasks; number++) {
			created.push(this.createTask(plan, number, at))
		}
		const ids = created.map((record) => record.task.id)
		this.intents.set(plan.intent.name, ids)
		return created
	}

	/** Records the placement of a task. */
	place(record: TaskRecord, command: CommandOf<'place'>, index: number): void {
		record.phase = TaskPhase.Placed
		record.worker = command.worker
		record.reserved = command.reserved
		record.fence = index
		record.placedAt = command.at
		this.addHistory(record, `placed on ${command.worker}: ${command.reason}`)
	}

	/** Records that a task no longer runs on its worker. */
	unplace(record: TaskRecord, command: CommandOf<'unplace'>): void {
		const hasFinished = command.done || record.cancelled
		record.phase = record.cancelled
			? TaskPhase.Cancelled
			: hasFinished
				? TaskPhase.Done
				: TaskPhase.Waiting
		if (command.lost) recordLoss(record, command.at)
		record.worker = ''
		record.reserved = undefined
		this.addHistory(record, `left ${command.worker}: ${command.reason}`)
		if (hasFinished) this.end(record)
	}

	/** Cancels a task: a waiting one ends, a placed one is marked to be stopped. */
	cancel(record: TaskRecord): void {
		record.cancelled = true
		this.addHistory(record, 'cancelled')
		if (record.phase !== TaskPhase.Waiting) return
		record.phase = TaskPhase.Cancelled
		this.end(record)
	}

	/** @returns the table for a snapshot. */
	save(): unknown {
		return {
			plans: [...this.plans.values()],
			tasks: [...this.tasks.values()],
			intents: [...this.intents],
			ended: this.ended,
		}
	}

	/** @param saved - what `save` returned. */
	load(saved: unknown): void {
		const table = saved as {
			plans: PlanRecord[]
			tasks: TaskRecord[]
			intents: [string, string[]][]
			ended: string[]
		}
		this.plans.clear()
		this.tasks.clear()
		this.intents.clear()
		for (const plan of table.plans) this.plans.set(plan.id, plan)
		for (const record of table.tasks) this.tasks.set(record.task.id, record)
		for (const [name, ids] of table.intents) this.intents.set(name, ids)
		this.ended = table.ended
	}

	private createTask(plan: PlanRecord, number: number, at: number): TaskRecord {
		const { intent } = plan
		const id = `${intent.name}/${plan.id}/${number}`
		const record: TaskRecord = {
			task: {
				id,
				intent: intent.name,
				team: intent.team,
				kind: intent.kind,
				need: intent.each,
				urgent: intent.urgent,
				deadline: intent.deadline === undefined ? undefined : Date.parse(intent.deadline),
				runTime: intent.runTime ?? DEFAULT_RUN_TIME_MS,
				submitted: at,
				checkpoints: intent.checkpoints,
				throttleTo: intent.throttleTo,
				gangSize: intent.kind === IntentKind.Gang ? intent.tasks : 1,
			},
			command: intent.command,
			phase: TaskPhase.Waiting,
			worker: '',
			fence: 0,
			placedAt: 0,
			cancelled: false,
			history: [],
		}
		this.addHistory(record, `confirmed by plan ${plan.id}`)
		this.tasks.set(id, record)
		return record
	}

	private addHistory(record: TaskRecord, text: string): void {
		record.history.push(text)
		if (record.history.length > MAX_HISTORY_LINES) record.history.splice(1, 1)
	}

	/** Records the end of a task. Ended tasks are kept for queries; beyond a limit the oldest are dropped. */
	private end(record: TaskRecord): void {
		this.ended.push(record.task.id)
		if (this.ended.length <= MAX_ENDED_TASKS) return
		for (const id of this.ended.splice(0, MAX_ENDED_TASKS / 10)) this.tasks.delete(id)
	}
}

/** Counts a loss. A task that ran for long before the loss did not crash its worker by starting. */
function recordLoss(record: TaskRecord, at: number): void {
	const isConsecutive = at - record.placedAt < LOSS_RESET_MS
	record.losses = (isConsecutive ? (record.losses ?? 0) : 0) + 1
	record.lostAt = at
}

/**
 * @param record - a task.
 * @returns whether it will not run any more.
 * @public
 */
export function hasEnded(record: TaskRecord): boolean {
	return record.phase === TaskPhase.Done || record.phase === TaskPhase.Cancelled
}
