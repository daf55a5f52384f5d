/** The runs of the cell: orders to start and stop them, sent again until the worker has answered. */
import { Measure } from '@rillrudder/telemetry'
import { formatTaskName, RunEnd, type TaskName } from '../../records/Job'
import { GangFailure } from '../../gangs/GangAttempt'
import { GangAttempts } from '../../gangs/GangAttempts'
import { needsPlan } from '../../gangs/needsPlan'
import type { AccountUsage } from '../../accounts/AccountUsage'
import type { Precedence, Standing } from '../../placement/Precedence'
import { timesOf } from '../../placement/stepTimes'
import type { JobRecord, TaskRecord } from '../../state/JobRecord'
import { tasksOf } from '../../state/JobTable'
import { isActive, TaskStatus } from '../../state/JobRecord'
import { Suspicion, suspicionOf } from '../../state/TaskCrashes'
import { epochOf, type LeaderContext } from '../LeaderContext'
import { LeaderEvent } from '../LeaderEvent'
import { Pacing } from './Pacing'
import { Refusal, type PollResult, type OrderResult } from '../ports'
import { claimAgain, claimOf, unclaim } from '../steps/reservation'
import { newRun } from './newRun'
import { RunPhase, type Run } from './Run'
import { tellWaste } from './tellWaste'
import { StopReason } from './WastedWork'
import { WorkerEnd } from '../workers/WorkerEnd'
import type { WorkerRegistry } from '../workers/WorkerRegistry'
import type { WorkerView } from '../workers/WorkerView'

/** WorkerPolls in a row that must not list a run before it is given up. */
const ABSENT_POLLS = 2

/**
 * Milliseconds at work after which workers that crashed under a lasting task count no more. It sees many workers fail in
 * months; one that crashes its worker does so as it begins. Other tasks end by themselves, and theirs count for good.
 */
const HARMLESS_AFTER = 10_000

/** What was decided for a run before it begins. @internal */
export interface Decision extends Standing {
	/** When, on the leader's clock. */
	readonly at: number
	/** Where it is to begin. */
	readonly worker: string
	/** Shows its worker that it may run it; empty where none is wanted. */
	readonly ticket: string
}

/** Why a run may not be ordered to start. @internal */
export const StartObstacle = {
	/** Its account has more running than its quota allows. */
	Quota: 'quota',
	/** Its worker has more on it than it offers. */
	Room: 'room',
	/** Its worker has not been heard for too long. */
	Unheard: 'unheard',
	/** Its worker can't be reached, or does not take new work. */
	Unreachable: 'unreachable',
} as const
/** One of the obstacles. @internal */
export type StartObstacle = (typeof StartObstacle)[keyof typeof StartObstacle]

/** Told of orders that show that a choice was wrong. @internal */
export interface RunListener {
	/** The ticket that a run was started with does not hold. */
	ticketRefused(task: TaskName, worker: string): void
	/** A run is moved away from a worker on which it stood still. */
	moved(task: TaskName, worker: string): void
}

/**
 * The runs of the cell.
 *
 * @internal
 */
export class RunController {
	private readonly runs = new Map<string, Run>()
	/** Runs that have been decided and not yet begun. */
	private readonly pending = new Map<string, Decision>()
	private readonly pacing: Pacing
	private readonly gangs: GangAttempts

	constructor(
		private readonly context: LeaderContext,
		private readonly workers: WorkerRegistry,
		private readonly precedence: Precedence,
		private readonly accounts: AccountUsage,
		private readonly listener: RunListener
	) {
		this.pacing = new Pacing(context)
		this.gangs = new GangAttempts(context, {
			obstacleOf: (run) => this.obstacleOf(run),
			order: (run) => this.order(run),
			giveUp: (runs) => this.giveUp(runs),
		})
	}

	/** How many runs there are. */
	get size(): number {
		return this.runs.size
	}

	/** Takes up the runs that an earlier leader began. */
	restore(job: JobRecord): void {
		const members: Run[] = []
		for (const { text, task } of tasksOf(job)) {
			if (task.status !== TaskStatus.Placed) continue
			const run = this.takeUp(job, text, task)
			if (run?.step.gang && run.phase === RunPhase.Starting && !isGangDone(job, run))
				members.push(run)
		}
		for (const run of members) this.gangs.restored(run)
		this.gangs.restoredAll(members)
	}

	private takeUp(job: JobRecord, text: string, task: TaskRecord): Run | undefined {
		const place = this.context.state.jobs.locate(text)
		if (!place) return undefined
		const run = this.add(text, place.name, job, task.attempt, task.worker)
		claimAgain(this.context.ledger, task.worker, run)
		run.checkpoint = task.checkpoint
		run.restored = true
		if (!isActive(job) || task.finished) this.beginStop(run, StopReason.Over)
		return run
	}

	/** Remembers a run that has been decided, until it begins or will not. */
	decided(task: string, decision: Decision): void {
		this.pending.set(task, decision)
	}

	/** @returns the jobs that have runs decided for a worker and not yet begun. */
	decidedFor(worker: string): string[] {
		const tasks = [...this.pending].filter(([, decision]) => decision.worker === worker)
		return tasks.map(([task]) => task.slice(0, task.indexOf('.')))
	}

	/** A run has begun: its worker is told. */
	begun(name: TaskName, attempt: number, worker: string): void {
		const text = formatTaskName(name)
		const job = this.context.state.jobs.find(name.job)
		if (!job) return
		const run = this.add(text, name, job, attempt, worker)
		if (run.step.gang) this.gangs.begun(run)
		else this.order(run)
	}

	/** A run that was decided will not begin. */
	voided(name: TaskName, attempt: number, worker: string): void {
		const job = this.context.state.jobs.find(name.job)
		const decision = this.takeDecision(formatTaskName(name))
		if (!job) return
		const claimed = claimOf(job, name.step, decision?.urgent ?? false, this.accounts.of(job))
		unclaim(this.context.ledger, worker, claimed)
		const { gang, count } = claimed.step
		if (gang) this.gangs.voided(name, attempt, count)
	}

	/** A run has ended: what it had is free. */
	ended(name: TaskName, attempt: number, worker: string, how: RunEnd): void {
		const text = formatTaskName(name)
		const run = this.runs.get(text)
		if (!run || run.attempt !== attempt) return
		this.runs.delete(text)
		this.workers.find(worker)?.runs.delete(text)
		unclaim(this.context.ledger, worker, run)
		const { health, clock, meter } = this.context
		meter.count(Measure.RunsEnded, { how })
		if (how === RunEnd.Done) health.succeeded(worker)
		if (how === RunEnd.Failed) health.failed(worker, name.job, clock.now())
		if (how === RunEnd.Failed || how === RunEnd.Lapsed)
			this.workers.losses.reliability.failed(worker, clock.now())
		this.noteGangEnds(run)
		this.gangs.ended(run, how === RunEnd.Done)
		if (how !== RunEnd.Done) tellWaste(this.context, run, how)
	}

	/** The first end of a member of a gang that is planned as a whole tells that the others end soon. */
	private noteGangEnds(run: Run): void {
		const job = this.context.state.jobs.find(run.name.job)
		if (run.ending || !job || !needsPlan({ step: run.step, queue: job.queue })) return
		for (const member of this.gangs.together(run)) member.ending = true
	}

	/** Stops everything that a job runs. */
	stopJob(job: JobRecord): void {
		for (const { text } of tasksOf(job)) {
			const run = this.runs.get(text)
			if (run) this.beginStop(run, StopReason.Over)
		}
	}

	/** Stops the run of a task that an earlier run has done. */
	stopTask(name: TaskName): void {
		const run = this.runs.get(formatTaskName(name))
		if (!run) return
		for (const one of this.gangs.together(run)) this.beginStop(one, StopReason.Over)
	}

	/** Stops a run so that a step of the highest priority finds room; it goes on from its checkpoint later. */
	preempt(run: Run, step: string): void {
		const { text: task, attempt, worker, percent } = run
		this.context.log.info(LeaderEvent.RunPreempted, { task, attempt, worker, percent, for: step })
		this.context.meter.count(Measure.Preemptions)
		this.beginStop(run, StopReason.Preempted)
	}

	/** Stops what a leaving worker should not be caught with. */
	leaving(view: WorkerView, now: number): void {
		const { timing } = this.context
		const soon = view.leavesAt - now < timing.leaveMargin
		for (const run of view.runs.values()) {
			const movable = run.step.lasting || (soon && run.step.checkpoints)
			if (movable && run.phase === RunPhase.Running) this.beginStop(run, StopReason.Leaving)
		}
	}

	/** Sends orders again that got no answer. */
	tick(now: number): void {
		for (const run of this.runs.values()) {
			if (run.busy || now < run.retryAt) continue
			if (run.phase === RunPhase.Starting || run.phase === RunPhase.Stopping) this.order(run)
		}
		this.gangs.tick(now)
		for (const view of this.workers.all()) if (view.draining) this.leaving(view, now)
	}

	/** Compares what a worker lists with what it should run. */
	polled(view: WorkerView, result: PollResult & { kind: 'done' }, sentAt: number): void {
		const listed = new Set<string>()
		for (const { task, attempt, checkpoint, percent, measure } of result.running) {
			const run = this.runs.get(task)
			if (!run || run.worker !== view.id || run.attempt !== attempt) {
				this.workers.foundStray(view, task, attempt)
				continue
			}
			listed.add(task)
			const now = this.context.clock.now()
			if (checkpoint !== run.checkpoint) run.checkpointAt = now
			Object.assign(run, { checkpoint, percent, measure, absent: 0 })
			run.progress.read(percent, result.clock, now)
			this.clearIfHarmless(run)
			if (run.phase === RunPhase.Starting) this.enter(run, RunPhase.Running)
			this.gangs.progressed(run)
		}
		for (const { task, attempt } of result.ended) {
			listed.add(task)
			this.foundEnded(view, task, attempt)
		}
		for (const run of view.runs.values()) {
			if (!listed.has(run.text)) this.notListed(run, sentAt)
		}
		this.pacing.adjust(view)
		this.watchStalls(view)
	}

	/** Workers that crashed under a lasting task which is at work for long were not its doing. */
	private clearIfHarmless(run: Run): void {
		const { state, clock, proposals } = this.context
		if (!run.step.lasting || run.confirmedAt === undefined) return
		if (clock.now() - run.confirmedAt < HARMLESS_AFTER) return
		if (!state.jobs.locate(run.text)?.task.crashed || run.clearing) return
		run.clearing = true
		proposals.propose({ kind: 'cleared', tasks: [run.text] })
	}

	/** A run that its worker lists as ended is not ordered again while that is being committed. */
	private foundEnded(view: WorkerView, task: string, attempt: number): void {
		const run = this.runs.get(task)
		if (!run || run.worker !== view.id || run.attempt !== attempt) return
		if (run.phase === RunPhase.Starting && !run.busy) this.enter(run, RunPhase.Stopped)
	}

	/** Closes a worker on which runs stand still, and moves those. */
	private watchStalls(view: WorkerView): void {
		const now = this.context.clock.now()
		const { stalls } = this.workers
		if (stalls.judge(view, this.workers.size, now)) {
			const { log, meter } = this.context
			log.warn(LeaderEvent.WorkerStalled, { worker: view.id, runs: view.runs.size })
			meter.count(Measure.StalledWorkers)
		}
		if (!stalls.isStalled(view.id, now) || view.draining) return
		for (const run of stalls.runsToMove(view)) this.move(run)
	}

	/** Stops a run so that it goes on elsewhere. */
	private move(run: Run): void {
		const { text: task, attempt, worker, percent } = run
		this.context.log.info(LeaderEvent.RunMoved, { task, attempt, worker, percent })
		this.context.meter.count(Measure.Moves)
		this.listener.moved(run.name, worker)
		this.beginStop(run, StopReason.Moved)
	}

	private add(text: string, name: TaskName, job: JobRecord, attempt: number, worker: string): Run {
		const step = job.request.steps[name.step]
		const decision = this.takeDecision(text)
		const now = this.context.clock.now()
		const { urgent, yields } =
			decision ?? this.precedence.standingOf(job.queue, step, now, job.beyondRate)
		const origin = {
			...claimOf(job, name.step, urgent, this.accounts.of(job)),
			text,
			name,
			attempt,
			worker,
			yields,
			times: timesOf(job, name.repeat, name.step, job.queue),
			ticket: decision?.ticket ?? '',
			decidedAt: decision?.at,
			ticketed: job.queue.advice !== undefined,
			suspected: this.isSuspected(text),
		}
		const run = newRun(origin, now, this.workers.find(worker)?.speed)
		this.runs.set(text, run)
		this.workers.find(worker)?.runs.set(text, run)
		return run
	}

	private isSuspected(text: string): boolean {
		const task = this.context.state.jobs.locate(text)?.task
		return task !== undefined && suspicionOf(task) !== Suspicion.None
	}

	private takeDecision(task: string): Decision | undefined {
		const decision = this.pending.get(task)
		this.pending.delete(task)
		return decision
	}

	private enter(run: Run, phase: RunPhase): void {
		run.phase = phase
		run.since = this.context.clock.now()
		if (phase === RunPhase.Running) this.noteConfirmed(run)
		run.unanswered = 0
		run.retryAt = 0
	}

	private noteConfirmed(run: Run): void {
		if (run.confirmedAt !== undefined) return
		run.confirmedAt = run.since
		if (run.decidedAt === undefined) return
		this.context.meter.observe(Measure.StartDelay, run.since - run.decidedAt)
	}

	private beginStop(run: Run, reason: StopReason): void {
		if (run.phase === RunPhase.Stopping || run.phase === RunPhase.Stopped) return
		if (reason !== StopReason.Over) this.gangs.failed(run, GangFailure.Stopped, reason)
		run.stopReason = reason
		this.enter(run, RunPhase.Stopping)
		if (!run.busy) this.order(run)
	}

	/** Sends the order of the run's phase. */
	private order(run: Run): void {
		const view = this.workers.find(run.worker)
		if (!view || view.unreachable || view.givenUp) return
		// Only a list tells what an earlier leader's orders came to.
		if (!view.listed) return
		if (run.phase === RunPhase.Starting) this.orderStart(run, view)
		else this.orderStop(run, view)
	}

	/** @returns why a run may not be ordered to start now, though its worker can be reached. */
	private startObstacle(run: Run, view: WorkerView): StartObstacle | undefined {
		const { clock, timing, ledger } = this.context
		if (!this.accounts.mayGoOn(run.account, run.step)) return StartObstacle.Quota
		// What was free when this was decided may be gone: a worker's room can shrink while its run is on its way.
		if (ledger.find(run.worker)?.isOver) return StartObstacle.Room
		// So may be that of a worker which an earlier leader chose and this one has not heard yet.
		return view.silence(clock.now()) >= timing.workerSilent ? StartObstacle.Unheard : undefined
	}

	/** @returns why a member of a gang may not be ordered to start now. */
	private obstacleOf(run: Run): StartObstacle | undefined {
		const view = this.workers.find(run.worker)
		if (!view || view.givenUp || view.unreachable || !view.listed) return StartObstacle.Unreachable
		return this.startObstacle(run, view)
	}

	/** Gives members of a gang up: what no order can have reached has ended, the others are stopped. */
	private giveUp(runs: readonly Run[]): void {
		const unordered = runs.filter(({ ordered, restored }) => !ordered && !restored)
		if (unordered.length > 0) this.proposeEnds(unordered, RunEnd.Refused)
		for (const run of runs) {
			if (!unordered.includes(run)) this.beginStop(run, StopReason.Withdrawn)
		}
	}

	private orderStart(run: Run, view: WorkerView): void {
		const { orders, clock, state } = this.context
		const place = state.jobs.locate(run.text)
		const obstacle = this.startObstacle(run, view)
		if (obstacle === StartObstacle.Unheard) return this.awaitWord(run)
		if (obstacle) return this.withdraw(run, obstacle)
		const leaseUntil = view.lease.renew(clock.now())
		if (!place || leaseUntil === undefined) return
		run.busy = true
		const order = {
			task: run.text,
			attempt: run.attempt,
			spec: place.job.request.spec,
			leaseUntil,
			fence: view.fence,
			checkpoint: place.task.checkpoint,
			ticket: run.ticket,
		}
		const sentAt = clock.now()
		run.ordered = true
		orders.start(view.worker, order, (result) =>
			this.answered(run, RunPhase.Starting, result, sentAt)
		)
	}

	/** A run is not ordered before its worker is heard; it goes elsewhere if that takes longer than a heartbeat should. */
	private awaitWord(run: Run): void {
		const { clock, timing } = this.context
		if (clock.now() - run.since > timing.workerQuiet) this.withdraw(run, StartObstacle.Unheard)
		else run.retryAt = clock.now() + timing.retryPause
	}

	/** A run that its worker has not confirmed is not begun any more; what an order on its way may begin is stopped. */
	private withdraw(run: Run, reason: StartObstacle): void {
		const { text: task, attempt, worker, account } = run
		const { log } = this.context
		const name = account?.terms.name
		log.info(LeaderEvent.RunWithdrawn, { task, attempt, worker, reason, account: name })
		this.beginStop(run, StopReason.Withdrawn)
	}

	private orderStop(run: Run, view: WorkerView): void {
		const { orders, clock } = this.context
		run.busy = true
		const order = { task: run.text, attempt: run.attempt, fence: view.fence }
		const sentAt = clock.now()
		orders.stop(view.worker, order, (result) =>
			this.answered(run, RunPhase.Stopping, result, sentAt)
		)
	}

	private answered(run: Run, asked: RunPhase, result: OrderResult, sentAt: number): void {
		run.busy = false
		const { meter, clock } = this.context
		meter.count(Measure.Orders, { order: asked, result: result.kind })
		meter.observe(Measure.OrderTime, clock.now() - sentAt, { order: asked })
		const view = this.workers.find(run.worker)
		if (!view || this.runs.get(run.text) !== run) return
		switch (result.kind) {
			case 'done':
				this.workers.answered(view, result.clock)
				return this.obeyed(run, asked)
			case 'refused':
				this.workers.answered(view, result.clock)
				return this.refused(run, view, asked, result.reason)
			case 'other-incarnation':
				return this.workers.proposeGone(run.worker, WorkerEnd.OtherIncarnation)
			case 'not-carried':
				run.unanswered += 1
				return this.orderAgain(run)
			case 'unknown':
				run.unanswered += 1
				this.workers.unanswered(view, result.message, sentAt)
		}
	}

	/** Sends the order of the run's phase again at once, if it still waits for an answer. */
	private orderAgain(run: Run): void {
		if (run.phase === RunPhase.Starting || run.phase === RunPhase.Stopping) this.order(run)
	}

	private obeyed(run: Run, asked: RunPhase): void {
		if (asked === RunPhase.Starting) {
			if (run.phase === RunPhase.Starting) this.enter(run, RunPhase.Running)
			else if (run.phase === RunPhase.Stopping) this.order(run)
			this.gangs.progressed(run)
			const view = this.workers.find(run.worker)
			if (view && !view.polling) view.pollDue = 0
		} else if (run.phase === RunPhase.Stopping) {
			this.enter(run, RunPhase.Stopped)
		}
	}

	private refused(run: Run, view: WorkerView, asked: RunPhase, reason: Refusal): void {
		const { log, health, clock, timing } = this.context
		const { text, attempt, worker } = run
		log.info(LeaderEvent.OrderRefused, { task: text, attempt, worker, reason, order: asked })
		if (reason === Refusal.Fence) {
			this.workers.fenced(view)
			return
		}
		run.retryAt = clock.now() + timing.retryPause
		if (asked === RunPhase.Stopping || run.phase === RunPhase.Stopping) {
			if (!run.busy && reason === Refusal.Old) this.enter(run, RunPhase.Stopped)
			else if (asked === RunPhase.Starting && run.unanswered === 0)
				this.proposeEnd(run, RunEnd.Refused)
			return
		}
		if (reason === Refusal.Late) return
		this.gangs.failed(run, GangFailure.Refused, reason)
		if (reason === Refusal.Old) {
			// Its end is listed, or it was stopped by an order of an earlier leader.
			this.enter(run, RunPhase.Stopped)
			return
		}
		if (reason === Refusal.Ticket) this.listener.ticketRefused(run.name, worker)
		if (reason === Refusal.Unhealthy) health.failed(worker, run.name.job, clock.now())
		// An earlier copy of the order may still be on its way; a stop makes sure that it does nothing.
		if (run.unanswered > 0) this.beginStop(run, StopReason.Withdrawn)
		else this.proposeEnd(run, RunEnd.Refused)
	}

	private notListed(run: Run, sentAt: number): void {
		if (run.restored && run.phase === RunPhase.Starting && (run.ticketed || run.step.gang)) {
			// It never began, and no order of an earlier leader is obeyed any more. Its ticket is not known here.
			this.gangs.failed(run, GangFailure.NotBegun)
			this.proposeEnd(run, RunEnd.Refused)
			return
		}
		const settled = run.phase === RunPhase.Running || run.phase === RunPhase.Stopped
		if (!settled || run.since >= sentAt) return
		run.absent += 1
		const polls = run.phase === RunPhase.Stopped ? 1 : ABSENT_POLLS
		if (run.absent < polls) return
		this.proposeEnd(run, run.phase === RunPhase.Stopped ? RunEnd.Refused : RunEnd.Lost)
	}

	private proposeEnd(run: Run, how: RunEnd): void {
		this.proposeEnds([run], how)
	}

	private proposeEnds(ended: readonly Run[], how: RunEnd): void {
		for (const run of ended) run.retryAt = Number.POSITIVE_INFINITY
		const runs = ended.map(({ text: task, attempt, checkpoint }) => ({
			task,
			attempt,
			how,
			checkpoint,
		}))
		this.context.proposals.propose({ kind: 'end', runs, at: epochOf(this.context) })
	}
}

/** Whether another member of a run's gang has done the work of all. */
function isGangDone(job: JobRecord, { name }: Run): boolean {
	return job.repeats[name.repeat][name.step].gangDone === true
}
