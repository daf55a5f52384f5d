/** The workers of the cell as the leader sees them: heartbeats, leases, polls. */
import { Measure } from '@rillrudder/telemetry'
import type { Heartbeat, Worker } from '../../records/Cell'
import { epochOf, type LeaderContext } from '../LeaderContext'
import { LeaderEvent } from '../LeaderEvent'
import { SuspectRuns } from '../runs/SuspectRuns'
import { Lease } from './Lease'
import { WorkerHeartbeats } from './WorkerHeartbeats'
import { WorkerPolls } from './WorkerPolls'
import { LostRuns } from '../runs/LostRuns'
import { endsOf } from '../runs/endsOf'
import { FenceTokens } from './FenceTokens'
import { IncarnationChanges } from './IncarnationChanges'
import { isOtherLife, parseIncarnation } from '../../records/Incarnation'
import type { JobRecord } from '../../state/JobRecord'
import { tasksOf } from '../../state/JobTable'
import { StallDetector } from '../../placement/StallDetector'
import type { AccountUsage } from '../../accounts/AccountUsage'
import type { HeardWorker } from '../callers/calls'
import type { ListedEnd, PollResult } from '../ports'
import { SilentWorkerRecorder } from './SilentWorkerRecorder'
import { isCrash, WorkerEnd } from './WorkerEnd'
import { WorkerLosses } from './WorkerLosses'
import { WorkerView } from './WorkerView'

/** Names of tasks that one line tells, so that it stays short. */
const MOST_NAMES = 20

/** Milliseconds by which the calendars of two leaders may differ; the platform bounds it by as much. */
const CALENDAR_ERROR = 5000
/** Milliseconds by which answers that overtake each other may make a worker's clock seem to go back. */
const CLOCK_STEP = 1000

/** Told of what polls bring. @internal */
export interface PollListener {
	/** @param sentAt - when the poll was sent, on the leader's clock. */
	polled(view: WorkerView, result: PollResult & { kind: 'done' }, sentAt: number): void
}

/**
 * The workers of the cell as the leader sees them.
 *
 * @internal
 */
export class WorkerRegistry {
	private readonly views = new Map<string, WorkerView>()
	/** Tells on which workers runs stand still. */
	readonly stalls = new StallDetector()
	/** What workers that fall silent tell. */
	readonly losses: WorkerLosses
	private readonly suspects: SuspectRuns
	private readonly polls: WorkerPolls
	private readonly lostRuns: LostRuns
	private readonly heartbeats: WorkerHeartbeats
	private readonly fences: FenceTokens
	private readonly lives: IncarnationChanges
	private readonly silentWorkers: SilentWorkerRecorder

	constructor(
		private readonly context: LeaderContext,
		accounts: AccountUsage,
		private readonly listener: PollListener
	) {
		this.suspects = new SuspectRuns(context, accounts, (view, message, sentAt) =>
			this.unanswered(view, message, sentAt)
		)
		this.polls = new WorkerPolls(context, {
			isUnclear: (view, now) => this.isUnclear(view, now),
			polled: (view, result, sentAt) => this.polled(view, result, sentAt),
		})
		this.losses = new WorkerLosses(context, this.views)
		this.lostRuns = new LostRuns(context, this.suspects, this.losses)
		this.silentWorkers = new SilentWorkerRecorder(context)
		this.fences = new FenceTokens(context.term)
		this.lives = new IncarnationChanges(context, this.fences, {
			onIncarnationChanged: (view) => this.lifeChanged(view),
			onUnanswered: (view, message, sentAt) => this.unanswered(view, message, sentAt),
			onIncarnationEnded: (id, reason) => this.proposeGone(id, reason),
		})
		this.heartbeats = new WorkerHeartbeats(context, this.lives, {
			find: (id) => this.views.get(id),
			over: (id, reason, done) => this.proposeGone(id, reason, done),
		})
		for (const { worker, draining, silent, sequence = 0 } of context.state.workers.all()) {
			const view = this.add(worker)
			view.sequence = sequence
			view.heartbeatAt -= silent ? context.timing.workerSilent : context.timing.workerQuiet
			if (draining) this.draining(worker.id)
		}
	}

	/** @returns a worker by its id. */
	find(id: string): WorkerView | undefined {
		return this.views.get(id)
	}

	/** How many workers there are. */
	get size(): number {
		return this.views.size
	}

	/** All workers. */
	all(): IterableIterator<WorkerView> {
		return this.views.values()
	}

	/** Sets the gauges of how many workers are in which state. */
	measure(): void {
		const counts = { open: 0, draining: 0, unreachable: 0, closed: 0 }
		for (const view of this.views.values()) counts[this.stateOf(view)] += 1
		for (const [state, count] of Object.entries(counts)) {
			this.context.meter.gauge(Measure.Workers, count, { state })
		}
	}

	private add(worker: Worker): WorkerView {
		const { ledger, clock } = this.context
		const known = this.views.get(worker.id)
		const view =
			known ?? new WorkerView(worker, this.firstLease(worker), this.fences.next(), clock.now())
		view.worker = worker
		this.views.set(worker.id, view)
		const { id, rack, capacity, slots } = worker
		ledger.join({ id, rack, capacity, slots })
		return view
	}

	private stateOf(view: WorkerView): 'open' | 'draining' | 'unreachable' | 'closed' {
		if (view.draining) return 'draining'
		if (view.unreachable) return 'unreachable'
		return this.isOpen(view) ? 'open' : 'closed'
	}

	/** Whether new work may go to a worker now. */
	isOpen(view: WorkerView): boolean {
		const { clock, timing, health } = this.context
		const now = clock.now()
		if (view.draining || view.givenUp || view.unreachable || !view.listed) return false
		if (view.suspects.size > 0) return false
		if (this.losses.isSuspect(view, now) || this.stalls.isStalled(view.id, now)) return false
		return view.silence(now) < timing.workerSilent && health.isOpen(view.id, now)
	}

	/** A worker has joined, or describes itself anew. */
	joined(worker: Worker): void {
		const known = this.views.has(worker.id)
		const view = this.add(worker)
		// No earlier leader knew it, so none has ordered anything there; where its name may have been known, its list is read first.
		if (!known && worker.born === undefined) view.listed = true
	}

	/** A worker is leaving. */
	draining(id: string): void {
		const view = this.views.get(id)
		if (view) view.draining = true
	}

	/** A worker has ended. */
	gone(id: string): void {
		const view = this.views.get(id)
		if (view) this.suspects.clear(view)
		this.lives.onWorkerGone(id)
		this.views.delete(id)
		this.context.ledger.leave(id)
		this.context.health.forget(id)
		this.stalls.forget(id)
	}

	/**
	 * Takes a heartbeat.
	 *
	 * @param heartbeat - the heartbeat.
	 * @param done - called once what it says is lasting, or with false when that can't be said.
	 */
	heartbeat(heartbeat: Heartbeat, done: (noted: boolean) => void): void {
		this.heartbeats.take(heartbeat, done)
	}

	/** Another instance has heard a worker. */
	heard(heard: HeardWorker): void {
		this.heartbeats.heard(heard)
	}

	/**
	 * A worker says that it ends. It may live on until it hears that this was noted, so what it runs
	 * counts as ended only once its lease is over.
	 */
	leave(id: string, done: () => void): void {
		const view = this.leaving(id)
		if (view) {
			view.left = true
			view.draining = true
		}
		done()
	}

	/** Which life a worker's word that it ends is of. Where it does not say, it is of one that had said that it leaves. */
	private leaving(id: string): WorkerView | undefined {
		const { name, born } = parseIncarnation(id)
		const view = this.views.get(this.context.state.workers.named(name)?.worker.id ?? '')
		if (!view || isOtherLife(view.worker.born, born)) return undefined
		const unclear = view.worker.born !== undefined && born === undefined
		return unclear && !view.draining ? undefined : view
	}

	/** Polls of workers that are due, and gives up what a silent one can no longer run. */
	tick(now: number): void {
		this.silentWorkers.tick(this.views.values(), now)
		this.lives.tick(now)
		this.polls.begin(this.views.values(), now)
		for (const view of this.views.values()) {
			if (view.unreachable) this.lostRuns.giveUpCopies(view, now)
			if (!view.unreachable) this.suspects.settle(view)
			if (view.left && (view.runs.size === 0 || view.lease.isOver(now))) {
				this.proposeGone(view.id, WorkerEnd.Left)
				view.left = false
			}
			if (view.unreachable && view.lease.isOver(now)) this.lostRuns.giveUp(view)
			const silence = now - view.heartbeatAt
			if (silence > this.context.timing.workerForgotten && view.runs.size === 0) {
				this.proposeGone(view.id, WorkerEnd.Forgotten)
			}
		}
	}

	/** A worker has answered a call; `clock` is its own clock, where it told it. */
	answered(view: WorkerView, clock: number | undefined): void {
		const now = this.context.clock.now()
		if (view.unreachable) this.context.log.info(LeaderEvent.WorkerRegained, { worker: view.id })
		view.unreachable = false
		view.answeredAt = now
		this.losses.answered(view)
		if (clock === undefined) return
		// A clock that went back is another life's; its list tells.
		if (view.clockRead && clock < view.clockRead.value - CLOCK_STEP) view.pollDue = 0
		view.lease.read(clock, now)
		view.clockRead = { value: clock, at: now }
	}

	/** A call that was sent at this moment got no answer. */
	unanswered(view: WorkerView, message: string, sentAt: number): void {
		if (sentAt < view.answeredAt) return
		const { id, address, dataCentre } = view.worker
		if (view.unreachable) return
		const now = this.context.clock.now()
		this.losses.missed(view)
		this.context.log.warn(LeaderEvent.WorkerLost, {
			worker: id,
			address,
			dataCentre,
			reason: message,
			runs: view.runs.size,
			heartbeatAge: Math.round(now - view.heartbeatAt),
			leaseLeft: Math.round(view.lease.endsBy - now),
		})
		view.unreachable = true
		this.losses.lost(view)
		view.probeDue = 0
	}

	/**
	 * Takes up the runs that an earlier leader gave up on workers that were silent, and may be still: they take room and
	 * quota until the worker has stopped them, or its lease is certainly over.
	 */
	restoreGivenUp(job: JobRecord): void {
		for (const { text, task } of tasksOf(job)) {
			for (const { worker } of task.silent ?? []) {
				const view = this.views.get(worker)
				if (view) this.suspects.raise(view, text, Math.max(0, ...(task.lost ?? [])))
			}
		}
	}

	/** A worker lists a run that it should not have: of a job that ended, or given up earlier. */
	foundStray(view: WorkerView, task: string, attempt: number): void {
		this.suspects.raise(view, task, attempt)
		this.suspects.settle(view)
	}

	/** Another life answers in a worker's place: what it holds of this one's runs has to end before they may begin elsewhere. */
	private lifeChanged(view: WorkerView): void {
		view.givenUp = true
		// Workers that have started again together were not ended by a task.
		if (!view.unreachable) this.losses.lost(view)
		this.context.log.info(LeaderEvent.WorkerRestarted, { worker: view.id, runs: view.runs.size })
	}

	/** A worker has refused an order since it has seen a higher fence: of a later leader, unless another life has seen one of this leader. */
	fenced(view: WorkerView): void {
		if (this.views.get(view.id) === view && !view.givenUp) this.context.deposed()
	}

	/** An incarnation of a worker has ended. */
	proposeGone(id: string, reason: WorkerEnd, done?: () => void): void {
		const { proposals, log, clock } = this.context
		const view = this.views.get(id)
		if (view) view.givenUp = true
		const silent = view && Math.round(clock.now() - view.answeredAt)
		const tasks = view && namesOf(view.runs.keys())
		log.info(LeaderEvent.WorkerGone, { worker: id, reason, runs: view?.runs.size, silent, tasks })
		const crash = view && isCrash(reason) ? this.losses.findingsOf(view) : undefined
		proposals.propose({ kind: 'gone', worker: id, at: epochOf(this.context), crash }, done)
	}

	/**
	 * Runs were given up while it was silent; that it answers is kept, since it tells that they did it no harm. An answer to an earlier
	 * call may have been made before it crashed.
	 */
	private noteAnswer(view: WorkerView, sentAt: number): void {
		const { state, proposals } = this.context
		if (view.noting || sentAt < view.gaveUpAt || !state.jobs.isAwaited(view.id)) return
		view.noting = true
		proposals.propose({ kind: 'answered', worker: view.id }, () => (view.noting = false))
	}

	/** Whether something about it is not known that a short poll tells. */
	private isUnclear(view: WorkerView, now: number): boolean {
		const { unreachable, suspects, lease, listed } = view
		const unknown = !lease.known || !listed || this.context.state.jobs.isAwaited(view.id)
		return unreachable || suspects.size > 0 || unknown || this.losses.isSuspect(view, now)
	}

	private polled(view: WorkerView, result: PollResult, sentAt: number): void {
		if (this.views.get(view.id) !== view) return
		switch (result.kind) {
			case 'done':
				if (isOtherLife(view.worker.born, result.born))
					return this.lives.onOtherIncarnation(view, view.worker)
				this.answered(view, result.clock)
				view.listed = true
				view.listedAt = this.context.clock.now()
				view.liveness.onList(result.clock, sentAt, view.listedAt)
				view.pollDue = 0
				this.noteAnswer(view, sentAt)
				this.takeEnds(view, result.ended)
				this.suspects.drop(view, result.running, sentAt)
				this.listener.polled(view, result, sentAt)
				return
			case 'refused':
				this.answered(view, result.clock)
				if (result.reason === 'fence') this.fenced(view)
				return
			case 'other-incarnation':
				this.proposeGone(view.id, WorkerEnd.OtherIncarnation)
				return
			case 'not-carried':
				return this.notCarried(view)
			case 'unknown':
				this.unanswered(view, result.message, sentAt)
		}
	}

	/** Asks again at once. Its data centre may be out of reach with the instance that was to carry the poll. */
	private notCarried(view: WorkerView): void {
		this.losses.missed(view)
		view.pollDue = 0
		view.probeDue = 0
	}

	/** Ends are committed before the worker is told that they were seen. */
	private takeEnds(view: WorkerView, ended: readonly ListedEnd[]): void {
		const fresh = ended.filter((end) => end.number > view.endsProposed)
		this.tellPassedOver(view, ended)
		if (fresh.length === 0) return
		const last = Math.max(...fresh.map((end) => end.number))
		view.endsProposed = last
		const runs = endsOf(fresh)
		this.context.proposals.propose({ kind: 'end', runs, at: epochOf(this.context) }, () => {
			view.endsCommitted = Math.max(view.endsCommitted, last)
		})
	}

	/** Ends that were taken before, of runs that still count as going on, are of another worker than is believed. */
	private tellPassedOver(view: WorkerView, ended: readonly ListedEnd[]): void {
		const numbers = ended
			.filter(({ number, task, attempt }) => {
				const isTaken = number <= view.endsCommitted
				return isTaken && view.runs.get(task)?.attempt === attempt
			})
			.map(({ number }) => number)
		const last = Math.max(0, ...numbers)
		if (last <= view.endsPassedOver) return
		view.endsPassedOver = last
		const { id: worker, endsCommitted: taken } = view
		const first = Math.min(...numbers)
		this.context.log.warn(LeaderEvent.EndsPassedOver, { worker, first, last, taken })
	}

	/**
	 * Earlier leaders may have granted a whole lease just before they lost their place. And a worker that has just started again may have been
	 * granted one by its earlier life's clock, which it keeps for as long as it keeps anything.
	 */
	private firstLease({ id, born }: Worker): Lease {
		const { timing, clock, state } = this.context
		const since = state.workers.find(id)?.joinedAt
		const isNew =
			since !== undefined && epochOf(this.context) - since < timing.longestLease + CALENDAR_ERROR
		const granted = born !== undefined && isNew ? timing.longestLease : timing.lease
		const longest = granted / (1 - timing.clockDrift) + timing.leaseMargin
		return new Lease(timing, clock.now() + longest)
	}
}

function namesOf(tasks: Iterable<string>): string {
	return [...tasks].slice(0, MOST_NAMES).join(' ')
}
