/** What a team uses and may use, and its waiting tasks. */
import Heap from 'heap-js'
import { QuotaAccount } from './QuotaAccount'
import { WaitingReason, type Task } from './Task'

const DEFAULT_RUN_TIME_MS = 600_000
/**
 * Batch work without a deadline counts as due this long after it was submitted, so that it can't
 * starve.
 */
const BATCH_DUE_AFTER_MS = 3_600_000
/** Work that has missed its deadline counts as due this long after that was detected. */
const LATE_DUE_AFTER_MS = 120_000

/** A waiting task, or all waiting tasks of a gang. @internal */
export interface PendingItem {
	readonly tasks: readonly Task[]
	/** The latest moment to start and still meet the deadline; orders the tasks of a team. */
	latestStart: number
	/** Whether it was demoted because it has missed its deadline. */
	isLate: boolean
	/** Number of the need: tasks with equal needs and gang sizes have the same one. */
	readonly shape: number
	waitingReason: WaitingReason
	/** The number of its tasks that were cancelled while it waited. */
	cancelledCount: number
}

/** Orders the waiting tasks of one team: urgent ones first, then by latest start. @internal */
export function comparePending(left: PendingItem, right: PendingItem): number {
	const urgent = Number(right.tasks[0].urgent) - Number(left.tasks[0].urgent)
	if (urgent !== 0) return urgent
	if (left.latestStart !== right.latestStart) return left.latestStart - right.latestStart
	return left.tasks[0].submitted - right.tasks[0].submitted
}

/**
 * One team's account, with its waiting tasks.
 *
 * @internal
 */
export class TeamAccount extends QuotaAccount {
	readonly waiting = new Heap<PendingItem>(comparePending)
}

/**
 * @param task - a task.
 * @param runTime - its expected run time, in milliseconds.
 * @returns the latest moment to start it. Without a deadline batch work is due an hour after it was
 * submitted, and other work at once.
 * @internal
 */
export function latestStartOf(task: Task, runTime = task.runTime || DEFAULT_RUN_TIME_MS): number {
	if (task.deadline !== undefined) return task.deadline - runTime
	return task.kind === 'batch' ? task.submitted + BATCH_DUE_AFTER_MS : task.submitted
}

/**
 * Demotes work that has missed its deadline behind work that has not: serving late work first would
 * make the next work late as well. Work that is only expected to miss its deadline keeps its place,
 * since the estimate is often wrong.
 *
 * @param item - the waiting work, already removed from the queue.
 * @param now - milliseconds since the epoch.
 * @returns whether it was demoted, so that it has to be queued again.
 * @internal
 */
export function demoteIfLate(item: PendingItem, now: number): boolean {
	const [first] = item.tasks
	if (item.isLate || first.urgent || first.deadline === undefined) return false
	if (first.deadline >= now) return false
	item.isLate = true
	item.latestStart = now + LATE_DUE_AFTER_MS
	return true
}
