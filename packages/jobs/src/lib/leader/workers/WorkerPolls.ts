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
const MANY_WORKERS = 100

/**
 * Milliseconds by which an urgent run is late before its worker is asked beside the poll that waits there: a lost
 * poll hides the run's end for over a second, more than urgent work has in hand, and declared times are off by about as much as this.
 */
const OVERDUE = 130

/** Milliseconds for which a worker's ends are waited for to be committed before it is polled again. */
const MOST_COMMIT = 80

/** What polls need of the registry of workers. @internal */
export interface PollHost {
	/** @returns whether something about a worker is not known that a short poll tells. */
	isUnclear(view: WorkerView, now: number): boolean
	/** @param sentAt - when the poll was sent, on the leader's clock. */
	polled(view: WorkerView, result: PollResult, sentAt: number): void
}

/**
 * The polls of workers.
 *
 * @internal
 */
export class WorkerPolls {
	constructor(
		private readonly context: LeaderContext,
		private readonly host: PollHost
	) {}

	/**
	 * Goes on polling workers that are known, and begins with a few of the others, those first that have waited
	 * longest. All at once, as after a change of leader, they would keep the instance from its heartbeats for longer
	 * than its lease.
	 */
	begin(views: Iterable<WorkerView>, now: number): void {
		const unclear: WorkerView[] = []
		for (const view of views) {
			if (view.givenUp) continue
			if (this.host.isUnclear(view, now)) unclear.push(view)
			else if (isDueForPoll(view, now)) this.poll(view, now)
			else if (isDueForProbe(view, now) && this.hidesNews(view, now)) this.probe(view, now)
		}
		const due = unclear.filter((view) => isDueForPoll(view, now) || isDueForProbe(view, now))
		const most = this.context.orders.firstPolls
		if (due.length > most) due.sort((left, right) => left.askedAt - right.askedAt)
		for (const view of due.slice(0, most)) {
			view.askedAt = now
			if (isDueForPoll(view, now)) this.poll(view, now)
			else this.probe(view, now)
		}
	}

	/** Whether the poll that is out would be a late word of something that matters. */
	private hidesNews(view: WorkerView, now: number): boolean {
		return hidesAnEnd(view, now) || hasUnconfirmedSurvival(view, now)
	}

	/** Waits for the next end, and renews the lease. */
	private poll(view: WorkerView, now: number): void {
		const { timing } = this.context
		const leaseUntil = view.unreachable || view.left ? undefined : view.lease.renew(now)
		view.polling = true
		view.pollDue = now + timing.retryPause
		const wait = leaseUntil === undefined || !view.listed ? 0 : this.waitAt(view)
		this.send(view, leaseUntil, wait, now, () => {
			view.polling = false
		})
	}

	/** Asks only whether the worker is there; a silent one's lease is not renewed. */
	private probe(view: WorkerView, now: number): void {
		view.probing = true
		view.probeDue = now + this.context.timing.retryPause
		this.send(view, undefined, 0, now, () => {
			view.probing = false
		})
	}

	private send(
		view: WorkerView,
		leaseUntil: number | undefined,
		wait: number,
		sentAt: number,
		answered: () => void
	): void {
		const { orders } = this.context
		const order = { fence: view.fence, endsSeen: view.endsSeen(sentAt), leaseUntil, wait }
		orders.poll(view.worker, order, (result) => {
			answered()
			this.host.polled(view, result, sentAt)
		})
	}

	private waitAt(view: WorkerView): number {
		const { timing } = this.context
		let serves = false
		let bestEffort = false
		for (const { step } of view.runs.values()) {
			if (step.bestEffort) bestEffort = true
			if (step.latencyTarget > 0) serves = true
		}
		if (serves && bestEffort) return timing.tightPollWait
		return this.context.state.workers.size >= MANY_WORKERS ? timing.longPollWait : timing.pollWait
	}
}

/**
 * Whether an urgent run should have ended by now and the poll that would tell is still out. Its answer may be lost, which
 * shows only when its wait is over: urgent work has no time for that.
 */
function hidesAnEnd(view: WorkerView, now: number): boolean {
	if (!view.polling) return false
	for (const run of view.runs.values()) {
		const ends = run.urgent && run.phase === RunPhase.Running
		if (ends && run.progress.getOverdueTime(now) > OVERDUE) return true
	}
	return false
}

function isDueForPoll(view: WorkerView, now: number): boolean {
	if (view.runs.size === 0 || view.polling || now < view.pollDue) return false
	return !isCommittingEnds(view) || now - view.listedAt >= MOST_COMMIT
}

/** Whether ends that it has listed are on their way to being committed: until they are named as seen, it lists them again at once. */
function isCommittingEnds({ endsCommitted, endsProposed }: WorkerView): boolean {
	return endsCommitted < endsProposed
}

function isDueForProbe(view: WorkerView, now: number): boolean {
	return !view.probing && now >= view.probeDue
}
