/** What a team uses and may use, and its tasks that wait. */
import Heap from 'heap-js'
import { QuotaAccount } from './QuotaAccount'
import { WaitingReason, type Task } from './Task'

const DEFAULT_RUN_TIME = 600_000
/** Batch without a deadline counts as due this long after it was submitted, so that it can not starve. */
const PATIENCE = 3_600_000
/** What has missed its deadline counts as due this long after that was seen. */
const LATE_PATIENCE = 120_000

/** A task that waits, or a whole gang of them. @internal */
export interface Pending {
	readonly tasks: readonly Task[]
	/** Latest moment to start and still meet the deadline; the order within a team. */
	latestStart: number
	/** Whether it has missed its deadline. */
	late: boolean
	/** Tasks of the same need have the same number. */
	readonly shape: number
	waiting: WaitingReason
	/** Tasks of it that were cancelled while it waited. */
	cancelled: number
}

/** Orders what waits in one team: urgent first, then the least time left. @internal */
export function before(left: Pending, right: Pending): number {
	const urgent = Number(right.tasks[0].urgent) - Number(left.tasks[0].urgent)
	if (urgent !== 0) return urgent
	if (left.latestStart !== right.latestStart) return left.latestStart - right.latestStart
	return left.tasks[0].submitted - right.tasks[0].submitted
}

/**
 * One team's account, with its tasks that wait.
 *
 * @internal
 */
export class TeamAccount extends QuotaAccount {
	readonly waiting = new Heap<Pending>(before)
}

/**
 * @param task - a task.
 * @param runTime - how long it is expected to run, in milliseconds.
 * @returns the latest moment to start it; work without a deadline is due when it was submitted, batch
 * without one an hour later.
 * @internal
 */
export function latestStart(task: Task, runTime = task.runTime || DEFAULT_RUN_TIME): number {
	if (task.deadline !== undefined) return task.deadline - runTime
	return task.kind === 'batch' ? task.submitted + PATIENCE : task.submitted
}

/**
 * Lets what has missed its deadline give way to what has not: helping the late first would make the
 * next ones late as well. What is only expected to miss it keeps its place, since the expectation is
 * often wrong.
 *
 * @param item - what waits, taken from the queue.
 * @param now - milliseconds since the epoch.
 * @returns whether its place has changed, so that it goes back into the queue.
 * @internal
 */
export function giveWay(item: Pending, now: number): boolean {
	const [first] = item.tasks
	if (item.late || first.urgent || first.deadline === undefined) return false
	if (first.deadline >= now) return false
	item.late = true
	item.latestStart = now + LATE_PATIENCE
	return true
}
