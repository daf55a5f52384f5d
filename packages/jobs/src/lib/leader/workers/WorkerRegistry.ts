/** The leader's registry of workers: their heartbeats, leases and polls. */
import { Measure } from '@rillrudder/telemetry'
import type { Heartbeat, Worker } from '../../records/Cell'
import { epochTimeOf, type LeaderContext } from '../LeaderContext'
import { LeaderEvent } from '../LeaderEvent'
import { SuspectRuns } from '../runs/SuspectRuns'
import { Lease, longestLease } from './Lease'
import { WorkerHeartbeats } from './WorkerHeartbeats'
import { WorkerPolls } from './WorkerPolls'
import { LostRunHandler } from '../runs/LostRunHandler'
import { toCommandEnds } from '../runs/toCommandEnds'
import { CrashPresumption } from './CrashPresumption'
import { FenceTokens } from './FenceTokens'
import { IncarnationChanges } from './IncarnationChanges'
import { isOtherIncarnation, parseIncarnation } from '../../records/Incarnation'
import type { JobRecord } from '../../state/JobRecord'
import { tasksOf } from '../../state/JobTable'
import { StallDetector } from '../../placement/StallDetector'
import type { AccountUsage } from '../../accounts/AccountUsage'
import type { RelayedHeartbeat } from '../callers/calls'
import type { ListedEnd, PollResult } from '../ports'
import { SilentWorkerRecorder } from './SilentWorkerRecorder'
import { isCrash, WorkerEnd } from './WorkerEnd'
import { WorkerLosses } from './WorkerLosses'
import { WorkerView } from './WorkerView'

/** Most task names in one log line. */
const MAX_LOGGED_TASKS = 20

/** How far the wall clocks of two leaders may differ; the platform guarantees this bound. */
const MAX_WALL_CLOCK_SKEW_MS = 5000
/** How far a worker's clock may seem to go back because answers arrive out of order. */
const MAX_CLOCK_REORDERING_MS = 1000

/** Milliseconds between two checks of idle workers, about which mostly messages tell news. */
const IDLE_CHECK_PERIOD_MS = 100

/** Receives the results of polls. @internal */
export interface PollListener {
	/**
	 * A poll was answered.
	 *
	 * @param sentAt - when the poll was sent, on the leader's clock.
	 */
	onPolled(view: WorkerView, result: PollResult & { kind: 'done' }, sentAt: number): void
}

/**
 * The workers of the cell as the leader knows them.
 *
 * @internal
 */
export class WorkerRegistry {
	private readonly views = new Map<string, WorkerView>()
	/** Detects workers on which runs are stalled. */
	readonly stalls = new StallDetector()
	/** Records and evaluates the losses of workers. */
	readonly losses: WorkerLosses
	private readonly suspects: SuspectRuns
	private readonly polls: WorkerPolls
	private readonly lostRuns: LostRunHandler
	private readonly heartbeats: WorkerHeartbeats
	private readonly fences: FenceTokens
	private readonly incarnations: IncarnationChanges
	private readonly silentRecorder: SilentWorkerRecorder
	private readonly crashPresumption: CrashPresumption
	private idleCheckDue = Number.NEGATIVE_INFINITY

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
		this.lostRuns = new LostRunHandler(context, this.suspects, this.losses)
		this.silentRecorder = new SilentWorkerRecorder(context)
		this.crashPresumption = new CrashPresumption(context)
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
			view.heartbeatAt -= silent ? context.timing.heartbeatTimeout : context.timing.heartbeatOverdue
			if (draining) this.onWorkerDraining(worker.id)
		}
	}

	/** @returns a worker by its id. */
	find(id: string): WorkerView | undefined {
		return this.views.get(id)
	}

	/** Number of workers. */
	get size(): number {
		return this.views.size
	}

	/** All workers. */
	all(): IterableIterator<WorkerView> {
		return this.views.values()
	}

	/** Sets the gauges of the number of workers by state. */
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

	/** Whether new work may be placed on a worker now. */
	isOpen(view: WorkerView): boolean {
		const { clock, health } = this.context
		const now = clock.now()
		return this.isAvailable(view, now) && health.isOpen(view.id, now)
	}

	/**
	 * Whether a worker that fails what it starts, and is closed for this reason only, may be probed by
	 * work that no open worker can run.
	 *
	 * @param lasting - whether the work is a lasting task.
	 */
	canProbe(view: WorkerView, lasting: boolean): boolean {
		const { clock, health } = this.context
		const now = clock.now()
		return health.canProbe(view.id, now, lasting) && this.isAvailable(view, now)
	}

	/** Whether new work may be placed on a worker now if its health allows it. */
	private isAvailable(view: WorkerView, now: number): boolean {
		if (view.isDraining || view.isEnding || view.isUnreachable || !view.isListed) return false
		if (view.suspects.size > 0) return false
		if (this.losses.isSuspect(view, now) || this.stalls.isStalled(view.id, now)) return false
		return view.heartbeatAge(now) < this.context.timing.heartbeatTimeout
	}

	/** A worker has joined, or its description has changed. */
	onWorkerJoined(worker: Worker): void {
		const known = this.views.has(worker.id)
		const view = this.add(worker)
		// No earlier leader knew a new worker, so none has ordered anything there. One with a start
		// time may be a restart under a known name, so its list is read first.
		if (!known && worker.born === undefined) view.isListed = true
	}

	/** A worker is draining. */
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
	 * Handles a heartbeat.
	 *
	 * @param done - called with true once what the heartbeat reports is committed or known already;
	 * with false when it is ignored, or when it is unclear which incarnation is current.
	 */
	handleHeartbeat(heartbeat: Heartbeat, done: (isRecorded: boolean) => void): void {
		this.heartbeats.handle(heartbeat, done)
	}

	/** Another instance has received a heartbeat of a worker. */
	onHeartbeatRelayed(heard: RelayedHeartbeat): void {
		this.heartbeats.onRelayed(heard)
	}

	/**
	 * A worker announces its end. It may go on until it receives the acknowledgement, so its runs
	 * count as ended only once its lease is over.
	 */
	onWorkerLeaving(id: string, done: () => void): void {
		const view = this.findLeaving(id)
		if (view) {
			view.hasLeft = true
			view.isDraining = true
		}
		done()
	}

	/**
	 * Finds the incarnation that announces its end. An announcement without a start time counts only
	 * for an incarnation that is draining already.
	 */
	private findLeaving(id: string): WorkerView | undefined {
		const { name, born } = parseIncarnation(id)
		const view = this.views.get(this.context.state.workers.findByName(name)?.worker.id ?? '')
		if (!view || isOtherIncarnation(view.worker.born, born)) return undefined
		const isAmbiguous = view.worker.born !== undefined && born === undefined
		return isAmbiguous && !view.isDraining ? undefined : view
	}

	/**
	 * Sends the polls that are due, and abandons the runs that an unreachable worker can no longer
	 * have.
	 */
	tick(now: number): void {
		this.silentRecorder.tick(this.views.values(), now)
		this.crashPresumption.tick(now)
		this.incarnations.tick(now)
		const views = this.viewsToCheck(now)
		this.polls.sendDue(views, now)
		for (const view of views) {
			if (view.isUnreachable) this.lostRuns.abandonRepeatable(view, now)
			if (!view.isUnreachable) this.suspects.stopAll(view)
			if (view.hasLeft && (view.runs.size === 0 || view.lease.isOver(now))) {
				this.proposeGone(view.id, WorkerEnd.Left)
				view.hasLeft = false
			}
			if (view.isUnreachable && view.lease.isOver(now)) this.lostRuns.abandonAll(view)
			const heartbeatAge = now - view.heartbeatAt
			if (heartbeatAge > this.context.timing.idleWorkerRetention && view.runs.size === 0) {
				this.proposeGone(view.id, WorkerEnd.Forgotten)
			}
		}
	}

	/** @returns the workers to check: idle ones, of which there may be thousands, only at times. */
	private viewsToCheck(now: number): readonly WorkerView[] {
		const all = [...this.views.values()]
		if (now < this.idleCheckDue) return all.filter((view) => !isIdle(view))
		this.idleCheckDue = now + IDLE_CHECK_PERIOD_MS
		return all
	}

	/** A worker has answered a call; `clock` is the reading of its own clock, if reported. */
	onAnswered(view: WorkerView, clock: number | undefined): void {
		const now = this.context.clock.now()
		if (view.isUnreachable) this.context.log.info(LeaderEvent.WorkerRegained, { worker: view.id })
		view.isUnreachable = false
		view.answeredAt = now
		this.losses.onAnswered(view)
		if (clock === undefined) return
		// A clock that went back is another incarnation's; polling at once shows that.
		if (view.clockReading && clock < view.clockReading.value - MAX_CLOCK_REORDERING_MS)
			view.pollDueAt = 0
		view.lease.recordClock(clock, now)
		view.clockReading = { value: clock, at: now }
	}

	/** A call sent at `sentAt` got no answer. */
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
	 * Restores the runs that an earlier leader abandoned on unreachable workers. They take capacity
	 * and quota until the worker has stopped them or its lease is certainly over.
	 */
	restoreAbandonedRuns(job: JobRecord): void {
		for (const { text, task } of tasksOf(job)) {
			for (const { worker, since } of task.silent ?? []) {
				const view = this.views.get(worker)
				if (!view || this.isLeaseLongOver(since)) continue
				this.suspects.add(view, text, Math.max(0, ...(task.lost ?? [])))
			}
		}
	}

	/**
	 * @param since - when a worker became unreachable, milliseconds since the epoch by the clock of
	 * any leader.
	 * @returns whether every lease that it may have had is certainly over.
	 */
	private isLeaseLongOver(since: number | undefined): boolean {
		if (since === undefined) return false
		const { timing } = this.context
		const longest = longestLease(timing.maxLease, timing)
		return epochTimeOf(this.context) - since > longest + MAX_WALL_CLOCK_SKEW_MS
	}

	/**
	 * A worker lists a run that it should not have: of a job that ended, or one abandoned earlier.
	 */
	onStrayRun(view: WorkerView, task: string, attempt: number): void {
		this.suspects.add(view, task, attempt)
		this.suspects.stopAll(view)
	}

	/**
	 * Another incarnation answers in a worker's place; the runs that it holds must end before they
	 * may start elsewhere.
	 */
	private onIncarnationChanged(view: WorkerView): void {
		view.isEnding = true
		// Recorded as a loss too, since workers that restart together were not crashed by a task.
		if (!view.isUnreachable) this.losses.onLost(view)
		this.context.log.info(LeaderEvent.WorkerRestarted, { worker: view.id, runs: view.runs.size })
	}

	/**
	 * A worker has refused an order since it has seen a higher fencing token: a later leader's,
	 * unless this leader sent it to another incarnation.
	 */
	onFenced(view: WorkerView): void {
		if (this.views.get(view.id) === view && !view.isEnding) this.context.onDeposed()
	}

	/** Proposes to remove an incarnation of a worker that has ended. */
	proposeGone(id: string, reason: WorkerEnd, done?: () => void): void {
		const { proposals, log, clock } = this.context
		const view = this.views.get(id)
		if (view) view.isEnding = true
		const silent = view && Math.round(clock.now() - view.answeredAt)
		const tasks = view && namesOf(view.runs.keys())
		log.info(LeaderEvent.WorkerGone, { worker: id, reason, runs: view?.runs.size, silent, tasks })
		const crash = view && isCrash(reason) ? this.losses.findingsOf(view) : undefined
		proposals.propose({ kind: 'gone', worker: id, at: epochTimeOf(this.context), crash }, done)
	}

	/**
	 * Proposes that a worker answers on which runs were abandoned while it was unreachable: the
	 * answer proves that they did not crash it. An answer to a call sent before they were abandoned
	 * proves nothing, since the worker may have crashed after it.
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

	/** Whether the state of a worker is unknown, so that it is polled without delay. */
	private needsProbe(view: WorkerView, now: number): boolean {
		const { isUnreachable, suspects, lease, isListed } = view
		const hasUnknownState =
			!lease.isClockKnown ||
			lease.isClockStale(now) ||
			!isListed ||
			this.context.state.jobs.hasUnresolvedRuns(view.id)
		return isUnreachable || suspects.size > 0 || hasUnknownState || this.losses.isSuspect(view, now)
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
				this.suspects.removeStopped(view, result.running, sentAt)
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

	/**
	 * Polls again at once. The data centre may be unreachable, with the instance that was to relay
	 * the poll.
	 */
	private onNotCarried(view: WorkerView): void {
		this.losses.onMissedCall(view)
		view.pollDueAt = 0
		view.probeDueAt = 0
	}

	/**
	 * Proposes the ends that are new; they are acknowledged to the worker only once they are
	 * committed.
	 */
	private takeEnds(view: WorkerView, ended: readonly ListedEnd[]): void {
		const newEnds = ended.filter((end) => end.number > view.endsProposed)
		this.logEndsPassedOver(view, ended)
		if (newEnds.length === 0) return
		const last = Math.max(...newEnds.map((end) => end.number))
		view.endsProposed = last
		const runs = toCommandEnds(newEnds)
		this.context.proposals.propose({ kind: 'end', runs, at: epochTimeOf(this.context) }, () => {
			view.endsCommitted = Math.max(view.endsCommitted, last)
		})
	}

	/**
	 * Logs ends with numbers that were committed before, of runs that still count as running: another
	 * incarnation than the known one has listed them.
	 */
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
	 * Creates the lease that earlier leaders may have granted, a whole one just before they were
	 * deposed. A worker that has just restarted may hold one that was computed from its earlier
	 * incarnation's clock, which it keeps for up to `maxLease`.
	 */
	private createLease({ id, born }: Worker): Lease {
		const { timing, clock, state } = this.context
		const since = state.workers.find(id)?.joinedAt
		const isNew =
			since !== undefined &&
			epochTimeOf(this.context) - since < timing.maxLease + MAX_WALL_CLOCK_SKEW_MS
		const granted = born !== undefined && isNew ? timing.maxLease : timing.lease
		return new Lease(timing, clock.now() + longestLease(granted, timing))
	}
}

function namesOf(tasks: Iterable<string>): string {
	return [...tasks].slice(0, MAX_LOGGED_TASKS).join(' ')
}

/** Whether a worker has no runs and nothing about it is unclear. */
function isIdle({ runs, suspects, isListed, isUnreachable, hasLeft }: WorkerView): boolean {
	return runs.size === 0 && suspects.size === 0 && isListed && !isUnreachable && !hasLeft
}
