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
import { isOtherIncarnation, parseIncarnation } from '../../records/Incarnation'
import type { JobRecord } from '../../state/JobRecord'
import { tasksOf } from '../../state/JobTable'
import { StallWatch } from '../../placement/StallWatch'
import type { AccountUsage } from '../../accounts/AccountUsage'
import type { HeardWorker } from '../callers/calls'
import type { ListedEnd, PollResult } from '../ports'
import { SilentWorkerRecorder } from './SilentWorkerRecorder'
import { isCrash, WorkerEnd } from './WorkerEnd'
import { WorkerLosses } from './WorkerLosses'
import { WorkerView } from './WorkerView'

/** Names of tasks that one line tells, so that it stays short. */
const MAX_LOGGED_TASKS = 20

/** Milliseconds by which the calendars of two leaders may differ; the platform bounds it by as much. */
const MAX_WALL_CLOCK_SKEW_MS = 5000
/** Milliseconds by which answers that overtake each other may make a worker's clock seem to go back. */
const MAX_CLOCK_REORDERING_MS = 1000

/** Told of what polls bring. @internal */
export interface PollListener {
	/** @param sentAt - when the poll was sent, on the leader's clock. */
	onPolled(view: WorkerView, result: PollResult & { kind: 'done' }, sentAt: number): void
}

/**
 * The workers of the cell as the leader sees them.
 *
 * @internal
 */
export class WorkerRegistry {
	private readonly views = new Map<string, WorkerView>()
	/** Tells on which workers runs stand still. */
	readonly stalls = new StallWatch()
	/** What workers that fall silent tell. */
	readonly losses: WorkerLosses
	private readonly suspects: SuspectRuns
	private readonly polls: WorkerPolls
	private readonly lostRuns: LostRuns
	private readonly heartbeats: WorkerHeartbeats
	private readonly fences: FenceTokens
	private readonly incarnations: IncarnationChanges
	private readonly silentRecorder: SilentWorkerRecorder

	constructor(
		private readonly context: LeaderContext,
		accounts: AccountUsage,
		private readonly listener: PollListener
	) {
		this.suspects = new SuspectRuns(context, accounts, (view, message, sentAt) =>
			this.onUnanswered(view, message, sentAt)
		)
		this.polls = new WorkerPolls(context, {
			needsProbe: (view, now) => this.needsProbe(view, now),
			onPolled: (view, result, sentAt) => this.onPolled(view, result, sentAt),
		})
		this.losses = new WorkerLosses(context, this.views)
		this.lostRuns = new LostRuns(context, this.suspects, this.losses)
		this.silentRecorder = new SilentWorkerRecorder(context)
		this.fences = new FenceTokens(context.term)
		this.incarnations = new IncarnationChanges(context, this.fences, {
			onIncarnationChanged: (view) => this.onIncarnationChanged(view),
			onUnanswered: (view, message, sentAt) => this.onUnanswered(view, message, sentAt),
			onIncarnationEnded: (id, reason) => this.proposeGone(id, reason),
		})
		this.heartbeats = new WorkerHeartbeats(context, this.incarnations, {
			find: (id) => this.views.get(id),
			onIncarnationEnded: (id, reason, done) => this.proposeGone(id, reason, done),
		})
		for (const { worker, draining, silent, sequence = 0 } of context.state.workers.all()) {
			const view = this.add(worker)
			view.sequence = sequence
			view.heartbeatAt -= silent ? context.timing.workerSilent : context.timing.workerQuiet
			if (draining) this.onWorkerDraining(worker.id)
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
	updateGauges(): void {
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
			known ?? new WorkerView(worker, this.createLease(worker), this.fences.next(), clock.now())
		view.worker = worker
		this.views.set(worker.id, view)
		const { id, rack, capacity, slots } = worker
		ledger.join({ id, rack, capacity, slots })
		return view
	}

	private stateOf(view: WorkerView): 'open' | 'draining' | 'unreachable' | 'closed' {
		if (view.isDraining) return 'draining'
		if (view.isUnreachable) return 'unreachable'
		return this.isOpen(view) ? 'open' : 'closed'
	}

	/** Whether new work may go to a worker now. */
	isOpen(view: WorkerView): boolean {
		const { clock, timing, health } = this.context
		const now = clock.now()
		if (view.isDraining || view.isEnding || view.isUnreachable || !view.isListed) return false
		if (view.suspects.size > 0) return false
		if (this.losses.isSuspect(view, now) || this.stalls.isStalled(view.id, now)) return false
		return view.heartbeatAge(now) < timing.workerSilent && health.isOpen(view.id, now)
	}

	/** A worker has joined, or describes itself anew. */
	onWorkerJoined(worker: Worker): void {
		const known = this.views.has(worker.id)
		const view = this.add(worker)
		// No earlier leader knew it, so none has ordered anything there; where its name may have been known, its list is read first.
		if (!known && worker.born === undefined) view.isListed = true
	}

	/** A worker is leaving. */
	onWorkerDraining(id: string): void {
		const view = this.views.get(id)
		if (view) view.isDraining = true
	}

	/** A worker has ended. */
	onWorkerGone(id: string): void {
		const view = this.views.get(id)
		if (view) this.suspects.clear(view)
		this.incarnations.onWorkerGone(id)
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
	handleHeartbeat(heartbeat: Heartbeat, done: (noted: boolean) => void): void {
		this.heartbeats.handle(heartbeat, done)
	}

	/** Another instance has heard a worker. */
	onHeartbeatRelayed(heard: HeardWorker): void {
		this.heartbeats.onRelayed(heard)
	}

	/**
	 * A worker says that it ends. It may live on until it hears that this was noted, so what it runs
	 * counts as ended only once its lease is over.
	 */
	onWorkerLeaving(id: string, done: () => void): void {
		const view = this.findLeaving(id)
		if (view) {
			view.hasLeft = true
			view.isDraining = true
		}
		done()
	}

	/** Which life a worker's word that it ends is of. Where it does not say, it is of one that had said that it leaves. */
	private findLeaving(id: string): WorkerView | undefined {
		const { name, born } = parseIncarnation(id)
		const view = this.views.get(this.context.state.workers.findByName(name)?.worker.id ?? '')
		if (!view || isOtherIncarnation(view.worker.born, born)) return undefined
		const unclear = view.worker.born !== undefined && born === undefined
		return unclear && !view.isDraining ? undefined : view
	}

	/** Polls of workers that are due, and gives up what a silent one can no longer run. */
	tick(now: number): void {
		this.silentRecorder.tick(this.views.values(), now)
		this.incarnations.tick(now)
		this.polls.sendDue(this.views.values(), now)
		for (const view of this.views.values()) {
			if (view.isUnreachable) this.lostRuns.giveUpCopies(view, now)
			if (!view.isUnreachable) this.suspects.settle(view)
			if (view.hasLeft && (view.runs.size === 0 || view.lease.isOver(now))) {
				this.proposeGone(view.id, WorkerEnd.Left)
				view.hasLeft = false
			}
			if (view.isUnreachable && view.lease.isOver(now)) this.lostRuns.giveUp(view)
			const heartbeatAge = now - view.heartbeatAt
			if (heartbeatAge > this.context.timing.workerForgotten && view.runs.size === 0) {
				this.proposeGone(view.id, WorkerEnd.Forgotten)
			}
		}
	}

	/** A worker has answered a call; `clock` is its own clock, where it told it. */
	onAnswered(view: WorkerView, clock: number | undefined): void {
		const now = this.context.clock.now()
		if (view.isUnreachable) this.context.log.info(LeaderEvent.WorkerRegained, { worker: view.id })
		view.isUnreachable = false
		view.answeredAt = now
		this.losses.onAnswered(view)
		if (clock === undefined) return
		// A clock that went back is another life's; its list tells.
		if (view.clockReading && clock < view.clockReading.value - MAX_CLOCK_REORDERING_MS)
			view.pollDueAt = 0
		view.lease.recordClock(clock, now)
		view.clockReading = { value: clock, at: now }
	}

	/** A call that was sent at this moment got no answer. */
	onUnanswered(view: WorkerView, message: string, sentAt: number): void {
		if (sentAt < view.answeredAt) return
		const { id, address, dataCentre } = view.worker
		if (view.isUnreachable) return
		const now = this.context.clock.now()
		this.losses.onMissedCall(view)
		this.context.log.warn(LeaderEvent.WorkerLost, {
			worker: id,
			address,
			dataCentre,
			reason: message,
			runs: view.runs.size,
			heartbeatAge: Math.round(now - view.heartbeatAt),
			leaseLeft: Math.round(view.lease.endsAt - now),
		})
		view.isUnreachable = true
		this.losses.onLost(view)
		view.probeDueAt = 0
	}

	/**
	 * Takes up the runs that an earlier leader gave up on workers that were silent, and may be still: they take room and
	 * quota until the worker has stopped them, or its lease is certainly over.
	 */
	restoreAbandonedRuns(job: JobRecord): void {
		for (const { text, task } of tasksOf(job)) {
			for (const { worker } of task.silent ?? []) {
				const view = this.views.get(worker)
				if (view) this.suspects.raise(view, text, Math.max(0, ...(task.lost ?? [])))
			}
		}
	}

	/** A worker lists a run that it should not have: of a job that ended, or given up earlier. */
	onStrayRun(view: WorkerView, task: string, attempt: number): void {
		this.suspects.raise(view, task, attempt)
		this.suspects.settle(view)
	}

	/** Another life answers in a worker's place: what it holds of this one's runs has to end before they may begin elsewhere. */
	private onIncarnationChanged(view: WorkerView): void {
		view.isEnding = true
		// Workers that have started again together were not ended by a task.
		if (!view.isUnreachable) this.losses.onLost(view)
		this.context.log.info(LeaderEvent.WorkerRestarted, { worker: view.id, runs: view.runs.size })
	}

	/** A worker has refused an order since it has seen a higher fence: of a later leader, unless another life has seen one of this leader. */
	onFenced(view: WorkerView): void {
		if (this.views.get(view.id) === view && !view.isEnding) this.context.deposed()
	}

	/** An incarnation of a worker has ended. */
	proposeGone(id: string, reason: WorkerEnd, done?: () => void): void {
		const { proposals, log, clock } = this.context
		const view = this.views.get(id)
		if (view) view.isEnding = true
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
	private proposeAnswered(view: WorkerView, sentAt: number): void {
		const { state, proposals } = this.context
		if (
			view.isRecordingAnswer ||
			sentAt < view.runsAbandonedAt ||
			!state.jobs.hasUnresolvedRuns(view.id)
		)
			return
		view.isRecordingAnswer = true
		proposals.propose({ kind: 'answered', worker: view.id }, () => (view.isRecordingAnswer = false))
	}

	/** Whether something about it is not known that a short poll tells. */
	private needsProbe(view: WorkerView, now: number): boolean {
		const { isUnreachable: unreachable, suspects, lease, isListed: listed } = view
		const isUnknown =
			!lease.isClockKnown || !listed || this.context.state.jobs.hasUnresolvedRuns(view.id)
		return unreachable || suspects.size > 0 || isUnknown || this.losses.isSuspect(view, now)
	}

	private onPolled(view: WorkerView, result: PollResult, sentAt: number): void {
		if (this.views.get(view.id) !== view) return
		switch (result.kind) {
			case 'done':
				if (isOtherIncarnation(view.worker.born, result.born))
					return this.incarnations.onOtherIncarnation(view, view.worker)
				this.onAnswered(view, result.clock)
				view.isListed = true
				view.listedAt = this.context.clock.now()
				view.liveness.onList(result.clock, sentAt, view.listedAt)
				view.pollDueAt = 0
				this.proposeAnswered(view, sentAt)
				this.takeEnds(view, result.ended)
				this.suspects.drop(view, result.running, sentAt)
				this.listener.onPolled(view, result, sentAt)
				return
			case 'refused':
				this.onAnswered(view, result.clock)
				if (result.reason === 'fence') this.onFenced(view)
				return
			case 'other-incarnation':
				this.proposeGone(view.id, WorkerEnd.OtherIncarnation)
				return
			case 'not-carried':
				return this.onNotCarried(view)
			case 'unknown':
				this.onUnanswered(view, result.message, sentAt)
		}
	}

	/** Asks again at once. Its data centre may be out of reach with the instance that was to carry the poll. */
	private onNotCarried(view: WorkerView): void {
		this.losses.onMissedCall(view)
		view.pollDueAt = 0
		view.probeDueAt = 0
	}

	/** Ends are committed before the worker is told that they were seen. */
	private takeEnds(view: WorkerView, ended: readonly ListedEnd[]): void {
		const newEnds = ended.filter((end) => end.number > view.endsProposed)
		this.logEndsPassedOver(view, ended)
		if (newEnds.length === 0) return
		const last = Math.max(...newEnds.map((end) => end.number))
		view.endsProposed = last
		const runs = endsOf(newEnds)
		this.context.proposals.propose({ kind: 'end', runs, at: epochOf(this.context) }, () => {
			view.endsCommitted = Math.max(view.endsCommitted, last)
		})
	}

	/** Ends that were taken before, of runs that still count as going on, are of another worker than is believed. */
	private logEndsPassedOver(view: WorkerView, ended: readonly ListedEnd[]): void {
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
	private createLease({ id, born }: Worker): Lease {
		const { timing, clock, state } = this.context
		const since = state.workers.find(id)?.joinedAt
		const isNew =
			since !== undefined &&
			epochOf(this.context) - since < timing.longestLease + MAX_WALL_CLOCK_SKEW_MS
		const granted = born !== undefined && isNew ? timing.longestLease : timing.lease
		const longest = granted / (1 - timing.clockDrift) + timing.leaseMargin
		return new Lease(timing, clock.now() + longest)
	}
}

function namesOf(tasks: Iterable<string>): string {
	return [...tasks].slice(0, MAX_LOGGED_TASKS).join(' ')
}
