/** Intents, their plans and their tasks. */
import type { Resources, Task } from '@rillrudder/scheduler'
import { IntentKind, type Intent } from '@rillrudder/settings'
import type { CommandOf } from '../commands/DataCentreCommand'

const DEFAULT_RUN_TIME_MS = 600_000

/** Where a plan is in its life. @public */
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

/** A plan as the log knows it. @public */
export interface PlanRecord {
	readonly id: string
	readonly intent: Intent
	readonly ground: number
	readonly steps: readonly PlanStep[]
	readonly impossible: readonly string[]
	phase: PlanPhase
}

/** Where a task is in its life. @public */
export const TaskPhase = {
	Waiting: 'waiting',
	Placed: 'placed',
	Done: 'done',
	Cancelled: 'cancelled',
} as const
/** One of the phases. @public */
export type TaskPhase = (typeof TaskPhase)[keyof typeof TaskPhase]

/** A task as the log knows it. @public */
export interface TaskRecord {
	readonly task: Task
	readonly command: readonly string[]
	phase: TaskPhase
	worker: string
	reserved?: Resources
	/** Index in the log of its newest placement; a worker takes no order of a lower one. */
	fence: number
	/** When it was placed, milliseconds since the epoch. */
	placedAt: number
	/** How often in a row its worker was lost under it; absent in records of before that was counted. */
	losses?: number
	/** When that was last, milliseconds since the epoch. */
	lostAt?: number
	/** Whether it is to end where it runs: cancelled while it ran. */
	cancelled: boolean
	/** What happened to it, newest last, for people. */
	readonly history: string[]
}

const MAX_HISTORY_LINES = 12
/** Milliseconds on one worker after which earlier losses count no more; many times the lease that ends a lost run. */
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

	/** Keeps a plan. */
	propose(command: CommandOf<'plan'>): void {
		const { id, intent, ground, steps, impossible } = command
		this.plans.set(id, { id, intent, ground, steps, impossible, phase: PlanPhase.Proposed })
	}

	/** Makes the tasks of a confirmed plan. */
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

	/** A task has been given a worker. */
	place(record: TaskRecord, command: CommandOf<'place'>, index: number): void {
		record.phase = TaskPhase.Placed
		record.worker = command.worker
		record.reserved = command.reserved
		record.fence = index
		record.placedAt = command.at
		this.addHistory(record, `placed on ${command.worker}: ${command.reason}`)
	}

	/** A task no longer runs where it ran. */
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

	/** A task that waits is withdrawn; one that runs is to end. */
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

	/** Ended tasks stay explainable for a while; the oldest go first. */
	private end(record: TaskRecord): void {
		this.ended.push(record.task.id)
		if (this.ended.length <= MAX_ENDED_TASKS) return
		for (const id of this.ended.splice(0, MAX_ENDED_TASKS / 10)) this.tasks.delete(id)
	}
}

/** A task that ran for long before its worker was lost did no harm by beginning. */
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
