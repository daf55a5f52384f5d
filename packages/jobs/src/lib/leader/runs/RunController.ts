/** The runs of the cell: orders to start and stop them, sent again until the worker has answered. */
import { Measure } from '@rillrudder/telemetry'
import { formatTaskName, RunEnd, type TaskName } from '../../records/Job'
import { GangFailure } from '../../gangs/GangAttempt'
import { GangAttempts } from '../../gangs/GangAttempts'
import { needsPlan } from '../../gangs/needsPlan'
import type { AccountUsage } from '../../accounts/AccountUsage'
import type { Precedence, StepPrecedence } from '../../placement/Precedence'
import { stepTimesOf } from '../../placement/stepTimes'
import type { JobRecord, TaskRecord } from '../../state/JobRecord'
import { tasksOf } from '../../state/JobTable'
import { isActive, TaskStatus } from '../../state/JobRecord'
import { Suspicion, suspicionOf } from '../../state/TaskCrashes'
import { epochOf, type LeaderContext } from '../LeaderContext'
import { LeaderEvent } from '../LeaderEvent'
import { Pacing } from './Pacing'
import type { PollResult } from '../ports'
import { restoreClaim, claimOf, releaseClaim } from '../steps/resourceClaim'
import { newRun } from './newRun'
import { RunOrders } from './RunOrders'
import { RunPhase, type Run } from './Run'
import { tellWaste } from './tellWaste'
import { StopReason } from './WastedWork'
import type { WorkerRegistry } from '../workers/WorkerRegistry'
import type { WorkerView } from '../workers/WorkerView'

/** WorkerPolls in a row that must not list a run before it is given up. */
const ABSENT_POLLS = 2

/**
 * Milliseconds after which a start that is not confirmed tells of its worker and no more of the cell: one whose worker answers, and one whose
 * worker has fallen silent, as workers seem to where it is the cell that is too late to read their answers.
 */
const MOST_AWAITED = 10_000
const MOST_AWAITED_IN_SILENCE = 1500

/**
 * Milliseconds at work after which workers that crashed under a lasting task count no more. It sees many workers fail in
 * months; one that crashes its worker does so as it begins. Other tasks end by themselves, and theirs count for good.
 */
const HARMLESS_AFTER = 10_000

/** What was decided for a run before it begins. @internal */
export interface Decision extends StepPrecedence {
	/** When, on the leader's clock. */
	readonly at: number
	/** Where it is to begin. */
	readonly worker: string
	/** Shows its worker that it may run it; empty where none is wanted. */
	readonly ticket: string
}

/** Told of orders that show that a choice was wrong. @internal */
export interface RunListener {
	/** The ticket that a run was started with does not hold. */
	ticketRefused(task: TaskName, worker: string): void
	/** A worker has confirmed a run, so many milliseconds after this leader had decided to begin it. */
	started(delay: number): void
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
	/** Runs that this leader has begun and no worker has confirmed. */
	private readonly unconfirmed = new Set<Run>()
	private readonly pacing: Pacing
	private readonly gangs: GangAttempts
	private readonly orders: RunOrders

	constructor(
		private readonly context: LeaderContext,
		private readonly workers: WorkerRegistry,
		private readonly precedence: Precedence,
		private readonly accounts: AccountUsage,
		private readonly listener: RunListener
	) {
		this.pacing = new Pacing(context)
		this.orders = new RunOrders(context, workers, accounts, {
			isCurrent: (run) => this.runs.get(run.text) === run,
			enter: (run, phase) => this.enter(run, phase),
			beginStop: (run, reason) => this.beginStop(run, reason),
			proposeEnd: (run, how) => this.proposeEnd(run, how),
			progressed: (run) => this.gangs.progressed(run),
			gangFailed: (run, failure, detail) => this.gangs.failed(run, failure, detail),
			ticketRefused: ({ name, worker }) => this.listener.ticketRefused(name, worker),
		})
		this.gangs = new GangAttempts(context, {
			obstacleOf: (run) => this.orders.obstacleOf(run),
			order: (run) => this.orders.order(run),
			giveUp: (runs) => this.giveUp(runs),
		})
	}

	/** How many runs there are. */
	get size(): number {
		return this.runs.size
	}

	/** @returns whether a worker has confirmed a run of a job, as far as is known; what an earlier leader began counts as confirmed. */
	hasBegun(job: JobRecord): boolean {
		for (const { text, task } of tasksOf(job)) {
			if (task.status === TaskStatus.Done || task.failures > 0 || task.lost) return true
			const run = this.runs.get(text)
			if (run && (run.restored || run.confirmedAt !== undefined)) return true
		}
		return false
	}

	/** How many runs are decided and not yet begun. */
	get decidedStarts(): number {
		return this.pending.size
	}

	/** How many starts are decided that no worker has confirmed; what a worker has that has been silent for a while holds nothing up. */
	get startsUnderWay(): number {
		return this.pending.size + [...this.awaited()].length
	}

	/** @returns milliseconds since each start was decided that its worker has not confirmed. */
	*awaitedStarts(): Generator<number> {
		const now = this.context.clock.now()
		for (const { decidedAt = now } of this.awaited()) yield now - decidedAt
	}

	/** Starts that have been ordered and not confirmed, but for those that are so late that they tell of their workers. */
	private *awaited(): Generator<Run> {
		const now = this.context.clock.now()
		for (const run of this.unconfirmed) {
			const { ordered, decidedAt = now } = run
			const most = this.isReachable(run) ? MOST_AWAITED : MOST_AWAITED_IN_SILENCE
			if (ordered && now - decidedAt <= most) yield run
		}
	}

	private isReachable({ worker }: Run): boolean {
		return this.workers.find(worker)?.unreachable === false
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
		this.gangs.restored(members)
	}

	private takeUp(job: JobRecord, text: string, task: TaskRecord): Run | undefined {
		const place = this.context.state.jobs.locate(text)
		if (!place) return undefined
		const run = this.add(text, place.name, job, task.attempt, task.worker)
		restoreClaim(this.context.ledger, task.worker, run)
		run.checkpoint = task.checkpoint
		run.restored = true
		run.seenAtWork = task.seenAtWork === task.attempt
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
		else this.orders.order(run)
	}

	/** A run that was decided will not begin. */
	voided(name: TaskName, attempt: number, worker: string): void {
		const job = this.context.state.jobs.find(name.job)
		const decision = this.takeDecision(formatTaskName(name))
		if (!job) return
		const claimed = claimOf(job, name.step, decision?.urgent ?? false, this.accounts.of(job))
		releaseClaim(this.context.ledger, worker, claimed)
		const { gang, count } = claimed.step
		if (gang) this.gangs.voided(name, attempt, count)
	}

	/** A run has ended: what it had is free. */
	ended(name: TaskName, attempt: number, worker: string, how: RunEnd): void {
		const text = formatTaskName(name)
		const run = this.runs.get(text)
		if (!run || run.attempt !== attempt) return
		this.runs.delete(text)
		this.unconfirmed.delete(run)
		this.workers.find(worker)?.runs.delete(text)
		releaseClaim(this.context.ledger, worker, run)
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
			if (run.phase === RunPhase.Starting || run.phase === RunPhase.Stopping) this.orders.order(run)
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
			run.progress.addReading(percent, result.clock, now)
			run.atWork.listed(result.clock)
			this.clearIfHarmless(run)
			this.noteAtWork(run)
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
		const { state, proposals } = this.context
		if (!run.step.lasting || run.atWork.least < HARMLESS_AFTER) return
		if (!state.jobs.locate(run.text)?.task.crashed || run.clearing) return
		run.clearing = true
		proposals.propose({ kind: 'cleared', tasks: [run.text] })
	}

	/** What a leader has seen of a suspected task outlives it: if the worker crashes under the next leader, the task is not blamed as if it had just begun. */
	private noteAtWork(run: Run): void {
		if (!run.suspected || run.seenAtWork || !run.atWork.hasOutlivedBeginning) return
		run.seenAtWork = true
		const { text: task, attempt } = run
		this.context.proposals.propose({ kind: 'at-work', runs: [{ task, attempt }] })
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
		if (stalls.update(view, this.workers.size, now)) {
			const { log, meter } = this.context
			log.warn(LeaderEvent.WorkerStalled, { worker: view.id, runs: view.runs.size })
			meter.count(Measure.StalledWorkers)
		}
		if (!stalls.isStalled(view.id, now) || view.draining) return
		for (const run of stalls.getRunsToMove(view)) this.move(run)
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
			decision ?? this.precedence.precedenceOf(job.queue, step, now, job.beyondRate)
		const origin = {
			...claimOf(job, name.step, urgent, this.accounts.of(job)),
			text,
			name,
			attempt,
			worker,
			yields,
			times: stepTimesOf(job, name.repeat, name.step, job.queue),
			ticket: decision?.ticket ?? '',
			decidedAt: decision?.at,
			ticketed: job.queue.advice !== undefined,
			suspected: this.isSuspected(text),
		}
		const run = newRun(origin, now, this.workers.find(worker)?.speed)
		this.runs.set(text, run)
		if (run.decidedAt !== undefined) this.unconfirmed.add(run)
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
		if (phase !== RunPhase.Starting) this.unconfirmed.delete(run)
		run.since = this.context.clock.now()
		if (phase === RunPhase.Running) this.noteConfirmed(run)
		run.retryAt = 0
	}

	private noteConfirmed(run: Run): void {
		if (run.confirmedAt !== undefined) return
		run.confirmedAt = run.since
		if (run.decidedAt === undefined) return
		const delay = run.since - run.decidedAt
		this.context.meter.observe(Measure.StartDelay, delay)
		this.listener.started(delay)
	}

	private beginStop(run: Run, reason: StopReason): void {
		if (run.phase === RunPhase.Stopping || run.phase === RunPhase.Stopped) return
		if (reason !== StopReason.Over) this.gangs.failed(run, GangFailure.Stopped, reason)
		run.stopReason = reason
		this.enter(run, RunPhase.Stopping)
		if (!run.busy) this.orders.order(run)
	}

	/** Gives members of a gang up: what no order can have reached has ended, the others are stopped. */
	private giveUp(runs: readonly Run[]): void {
		const unordered = runs.filter(({ ordered, restored }) => !ordered && !restored)
		if (unordered.length > 0) this.proposeEnds(unordered, RunEnd.Refused)
		for (const run of runs) {
			if (!unordered.includes(run)) this.beginStop(run, StopReason.Withdrawn)
		}
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
