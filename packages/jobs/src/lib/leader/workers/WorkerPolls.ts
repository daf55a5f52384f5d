/** Polls of workers: long polls that renew a lease and wait for the next end, and short ones that only ask. */
import { hasUnconfirmedSurvival } from './crashEvidenceOf'
import type { LeaderContext } from '../LeaderContext'
import type { PollResult } from '../ports'
import { RunPhase } from '../runs/Run'
import type { WorkerView } from './WorkerView'

/**
 * Workers from which polls wait longer. A third of all polls end without news, and with hundreds of workers they are most
 * of what the cell's instances do.
 */
const LONG_POLL_MIN_WORKERS = 100

/**
 * Milliseconds by which an urgent run is late before its worker is asked beside the poll that waits there: a lost
 * poll hides the run's end for over a second, more than urgent work has in hand, and declared times are off by about as much as this.
 */
const OVERDUE_MS = 130

/** Milliseconds for which a worker's ends are waited for to be committed before it is polled again. */
const MAX_COMMIT_WAIT_MS = 80

/** What polls need of the registry of workers. @internal */
export interface PollDelegate {
	/** @returns whether something about a worker is not known that a short poll tells. */
	needsProbe(view: WorkerView, now: number): boolean
	/** @param sentAt - when the poll was sent, on the leader's clock. */
	onPolled(view: WorkerView, result: PollResult, sentAt: number): void
}

/**
 * The polls of workers.
 *
 * @internal
 */
export class WorkerPolls {
	constructor(
		private readonly context: LeaderContext,
		private readonly delegate: PollDelegate
	) {}

	/**
	 * Goes on polling workers that are known, and begins with a few of the others, those first that have waited
	 * longest. All at once, as after a change of leader, they would keep the instance from its heartbeats for longer
	 * than its lease.
	 */
	sendDue(views: Iterable<WorkerView>, now: number): void {
		const unclear: WorkerView[] = []
		for (const view of views) {
			if (view.isEnding) continue
			if (this.delegate.needsProbe(view, now)) unclear.push(view)
			else if (isDueForPoll(view, now)) this.poll(view, now)
			else if (isDueForProbe(view, now) && this.needsProbeBesidePoll(view, now))
				this.probe(view, now)
		}
		const due = unclear.filter((view) => isDueForPoll(view, now) || isDueForProbe(view, now))
		const limit = this.context.orders.firstPolls
		if (due.length > limit) due.sort((left, right) => left.lastAskedAt - right.lastAskedAt)
		for (const view of due.slice(0, limit)) {
			view.lastAskedAt = now
			if (isDueForPoll(view, now)) this.poll(view, now)
			else this.probe(view, now)
		}
	}

	/** Whether the poll that is out would be a late word of something that matters. */
	private needsProbeBesidePoll(view: WorkerView, now: number): boolean {
		return hasOverdueRun(view, now) || hasUnconfirmedSurvival(view, now)
	}

	/** Waits for the next end, and renews the lease. */
	private poll(view: WorkerView, now: number): void {
		const { timing } = this.context
		const leaseUntil = view.isUnreachable || view.hasLeft ? undefined : view.lease.renew(now)
		view.isPolling = true
		view.pollDueAt = now + timing.retryPause
		const wait = leaseUntil === undefined || !view.isListed ? 0 : this.waitOf(view)
		this.send(view, leaseUntil, wait, now, () => {
			view.isPolling = false
		})
	}

	/** Asks only whether the worker is there; a silent one's lease is not renewed. */
	private probe(view: WorkerView, now: number): void {
		view.isProbing = true
		view.probeDueAt = now + this.context.timing.retryPause
		this.send(view, undefined, 0, now, () => {
			view.isProbing = false
		})
	}

	private send(
		view: WorkerView,
		leaseUntil: number | undefined,
		wait: number,
		sentAt: number,
		onAnswered: () => void
	): void {
		const { orders } = this.context
		const order = { fence: view.fence, endsSeen: view.endsSeen(sentAt), leaseUntil, wait }
		orders.poll(view.worker, order, (result) => {
			onAnswered()
			this.delegate.onPolled(view, result, sentAt)
		})
	}

	private waitOf(view: WorkerView): number {
		const { timing } = this.context
		let hasLatencyTarget = false
		let hasBestEffort = false
		for (const { step } of view.runs.values()) {
			if (step.bestEffort) hasBestEffort = true
			if (step.latencyTarget > 0) hasLatencyTarget = true
		}
		if (hasLatencyTarget && hasBestEffort) return timing.tightPollWait
		return this.context.state.workers.size >= LONG_POLL_MIN_WORKERS
			? timing.longPollWait
			: timing.pollWait
	}
}

/**
 * Whether an urgent run should have ended by now and the poll that would tell is still out. Its answer may be lost, which
 * shows only when its wait is over: urgent work has no time for that.
 */
function hasOverdueRun(view: WorkerView, now: number): boolean {
	if (!view.isPolling) return false
	for (const run of view.runs.values()) {
		const isUrgentRunning = run.urgent && run.phase === RunPhase.Running
		if (isUrgentRunning && run.progress.overdue(now) > OVERDUE_MS) return true
	}
	return false
}

function isDueForPoll(view: WorkerView, now: number): boolean {
	if (view.runs.size === 0 || view.isPolling || now < view.pollDueAt) return false
	return !isCommittingEnds(view) || now - view.listedAt >= MAX_COMMIT_WAIT_MS
}

/** Whether ends that it has listed are on their way to being committed: until they are named as seen, it lists them again at once. */
function isCommittingEnds({ endsCommitted, endsProposed }: WorkerView): boolean {
	return endsCommitted < endsProposed
}

function isDueForProbe(view: WorkerView, now: number): boolean {
	return !view.isProbing && now >= view.probeDueAt
}
