/**
 * Polls of workers: long polls, which renew the lease and wait for the next end of a run, and
 * probes, which return at once.
 */
import { hasUnconfirmedSurvival } from './crashEvidenceOf'
import type { LeaderContext } from '../LeaderContext'
import type { PollResult } from '../ports'
import { RunPhase } from '../runs/Run'
import type { WorkerView } from './WorkerView'

/**
 * Number of workers from which polls wait longer. A third of all polls return nothing new, and with
 * hundreds of workers polls are most of the load on the cell's instances.
 */
const LONG_POLL_MIN_WORKERS = 100

/**
 * How far an urgent run may exceed its expected time before its worker is probed beside the pending
 * poll. A lost poll hides the run's end for over a second, more than the slack of urgent work;
 * expected times are off by about this much.
 */
const OVERDUE_MS = 130

/** Longest wait for the commit of a worker's ends before it is polled again. */
const MAX_COMMIT_WAIT_MS = 80

/** What `WorkerPolls` needs of the worker registry. @internal */
export interface PollDelegate {
	/** @returns whether the state of a worker is unknown, so that it is polled without waiting. */
	needsProbe(view: WorkerView, now: number): boolean
	/**
	 * A poll has ended.
	 *
	 * @param sentAt - when the poll was sent, on the leader's clock.
	 */
	onPolled(view: WorkerView, result: PollResult, sentAt: number): void
}

/**
 * Sends the polls of workers.
 *
 * @internal
 */
export class WorkerPolls {
	constructor(
		private readonly context: LeaderContext,
		private readonly delegate: PollDelegate
	) {}

	/**
	 * Sends the polls and probes that are due. Of the workers whose state is unknown, only a few are
	 * polled per call, those that have waited longest first: polling all of them at once after a
	 * change of leader would keep the instance from sending its heartbeats for longer than its lease.
	 */
	sendDue(views: Iterable<WorkerView>, now: number): void {
		const unknown: WorkerView[] = []
		for (const view of views) {
			if (view.isEnding) continue
			if (this.delegate.needsProbe(view, now)) unknown.push(view)
			else if (isDueForPoll(view, now)) this.poll(view, now)
			else if (isDueForProbe(view, now) && this.needsProbeBesidePoll(view, now))
				this.probe(view, now)
		}
		const due = unknown.filter((view) => isDueForPoll(view, now) || isDueForProbe(view, now))
		const limit = this.context.orders.maxProbesPerTick
		if (due.length > limit) due.sort((left, right) => left.lastAskedAt - right.lastAskedAt)
		for (const view of due.slice(0, limit)) {
			view.lastAskedAt = now
			if (isDueForPoll(view, now)) this.poll(view, now)
			else this.probe(view, now)
		}
	}

	/** Whether the pending poll may report too late that a run has ended or the worker survived. */
	private needsProbeBesidePoll(view: WorkerView, now: number): boolean {
		return hasOverdueRun(view, now) || hasUnconfirmedSurvival(view, now)
	}

	/** Sends a long poll, which renews the lease and waits for the next end of a run. */
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

	/** Sends a poll that returns at once and does not renew the lease. */
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
		onDone: () => void
	): void {
		const { orders } = this.context
		const order = { fence: view.fence, endsSeen: view.endsSeen(sentAt), leaseUntil, wait }
		orders.poll(view.worker, order, (result) => {
			onDone()
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
 * Whether an urgent run should have ended by now and the poll that would report it is still
 * pending. The answer may be lost, which shows only when the poll times out: too late for urgent
 * work.
 */
function hasOverdueRun(view: WorkerView, now: number): boolean {
	if (!view.isPolling) return false
	for (const run of view.runs.values()) {
		const isUrgentRunning = run.urgent && run.phase === RunPhase.Running
		if (isUrgentRunning && run.progress.getOverdueTime(now) > OVERDUE_MS) return true
	}
	return false
}

function isDueForPoll(view: WorkerView, now: number): boolean {
	if (view.runs.size === 0 || view.isPolling || now < view.pollDueAt) return false
	return !isCommittingEnds(view) || now - view.listedAt >= MAX_COMMIT_WAIT_MS
}

/**
 * Whether ends that the worker has listed are proposed and not committed yet: until they are
 * acknowledged, the worker answers each poll with them at once.
 */
function isCommittingEnds({ endsCommitted, endsProposed }: WorkerView): boolean {
	return endsCommitted < endsProposed
}

function isDueForProbe(view: WorkerView, now: number): boolean {
	return !view.isProbing && now >= view.probeDueAt
}
