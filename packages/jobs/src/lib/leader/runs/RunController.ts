/** Starts, tracks and stops the runs of the cell. Orders are repeated until the worker answers. */
import { Measure } from '@rillrudder/telemetry'
import { formatTaskName, JobState, RunEnd, type TaskName } from '../../records/Job'
import { GangFailure } from '../../gangs/GangAttempt'
import { GangAttempts } from '../../gangs/GangAttempts'
import { shouldPlanGang } from '../../gangs/shouldPlanGang'
import type { AccountUsage } from '../../accounts/AccountUsage'
import type { Precedence, StepPrecedence } from '../../placement/Precedence'
import { stepTimesOf } from '../../placement/stepTimes'
import type { JobRecord, TaskRecord } from '../../state/JobRecord'
import { tasksOf } from '../../state/JobTable'
import { isActive, TaskStatus } from '../../state/JobRecord'
import { countedCrashesOf, Suspicion, suspicionOf } from '../../state/TaskCrashes'
import { epochTimeOf, type LeaderContext } from '../LeaderContext'
import { LeaderEvent } from '../LeaderEvent'
import { BegunJobs } from './BegunJobs'
import { RunPacer } from './RunPacer'
import { Refusal, type PollResult } from '../ports'
import { restoreClaim, claimOf, releaseClaim } from '../steps/resourceClaim'
import { createRun } from './createRun'
import { RunHealth } from './RunHealth'
import { RunOrders } from './RunOrders'
import { RunPhase, type Run } from './Run'
import { reportWaste } from './reportWaste'
import { StopReason } from './WastedWork'
import type { WorkerRegistry } from '../workers/WorkerRegistry'
import type { WorkerView } from '../workers/WorkerView'

/** Consecutive polls that must miss a run before it counts as lost. */
const ABSENT_POLLS = 2

/**
 * Milliseconds after which an unconfirmed start counts as a problem of its worker and no longer of
 * the cell, while the worker answers.
 */
const MAX_CONFIRMATION_WAIT_MS = 10_000
/**
 * The same for a start whose worker is unreachable. Its start counts for a while, because workers
 * also appear unreachable when an overloaded cell is too late to read their answers.
 */
const MAX_CONFIRMATION_WAIT_UNREACHABLE_MS = 1500

/**
 * Running time in milliseconds after which worker crashes no longer count against a lasting task.
 * Such a task sees many workers fail over months, while a task that crashes its worker does so as
 * it starts. Other tasks end by themselves, and crashes under them count permanently.
 */
const HARMLESS_AFTER_MS = 10_000

/** A decision to start a run. @internal */
export interface Decision extends StepPrecedence {
	/** When it was made, on the leader's clock. */
	readonly at: number
	/** Id of the worker that is to run it. */
	readonly worker: string
	/** The service of the worker. */
	readonly service: string
	/** Ticket that entitles the worker to run it; empty if none is required. */
	readonly ticket: string
}

/** Receives outcomes of orders that matter for later placement decisions. @internal */
export interface RunListener {
	/** A worker has refused the ticket of a start order. */
	onTicketRefused(task: TaskName, worker: string): void
	/** A worker has confirmed a run, `delay` milliseconds after this leader decided to start it. */
	onStarted(delay: number): void
	/** A worker does not serve a run, which stalled or was refused there. */
	onNotServed(task: TaskName, worker: string): void
}

/**
 * Controls the runs of the cell.
 *
 * @internal
 */
export class RunController {
	private readonly runs = new Map<string, Run>()
	/** Decisions whose start is not committed yet, by task. */
	private readonly pending = new Map<string, Decision>()
	/** Runs that this leader has started and no worker has confirmed. */
	private readonly unconfirmed = new Set<Run>()
	private readonly pacer: RunPacer
	private readonly gangs: GangAttempts
	private readonly orders: RunOrders
	private readonly begunJobs: BegunJobs
	private readonly workerHealth: RunHealth

	constructor(
		private readonly context: LeaderContext,
		private readonly workers: WorkerRegistry,
		private readonly precedence: Precedence,
		private readonly accounts: AccountUsage,
		private readonly listener: RunListener
	) {
		this.pacer = new RunPacer(context)
		this.begunJobs = new BegunJobs(context)
		this.workerHealth = new RunHealth(context)
		this.orders = new RunOrders(context, workers, accounts, {
			isCurrent: (run) => this.runs.get(run.taskId) === run,
			enterPhase: (run, phase) => this.enterPhase(run, phase),
			requestStop: (run, reason) => this.requestStop(run, reason),
			proposeEnd: (run, how) => this.proposeEnd(run, how),
			onStartConfirmed: (run) => this.begunJobs.add(run.name.job),
			onProgress: (run) => this.gangs.onProgress(run),
			onGangMemberFailed: (run, failure, detail) => this.gangs.onMemberFailed(run, failure, detail),
			onTicketRefused: ({ name, worker }) => this.listener.onTicketRefused(name, worker),
			onStartRefused: (run, reason) => {
				if (reason === Refusal.Unhealthy) this.workerHealth.onFailure(run)
				this.listener.onNotServed(run.name, run.worker)
			},
		})
		this.gangs = new GangAttempts(context, {
			startObstacleOf: (run) => this.orders.startObstacleOf(run),
			orderStart: (run) => this.orders.sendOrder(run),
			abandon: (runs) => this.abandon(runs),
		})
	}

	/** Number of runs. */
	get size(): number {
		return this.runs.size
	}

	/**
	 * @returns the state of a job as callers and operators are told: it is queued until a worker is
	 * known to have started a task of it. A start that is decided, ordered or abandoned does not show
	 * that.
	 */
	stateOf(job: JobRecord): JobState {
		const isUnconfirmed = job.state === JobState.Running && !this.begunJobs.has(job)
		return isUnconfirmed ? JobState.Queued : job.state
	}

	/** Records which jobs have begun, together with what else is proposed now. */
	recordBegunJobs(): void {
		this.begunJobs.record()
	}

	/** Number of decided runs whose start is not committed yet. */
	get decidedStarts(): number {
		return this.pending.size
	}

	/**
	 * Number of decided starts that no worker has confirmed. Overdue starts, in particular those on
	 * workers that have been unreachable for a while, don't count, so that they hold nothing up.
	 */
	get startsInProgress(): number {
		return this.pending.size + [...this.unconfirmedStarts()].length
	}

	/** @returns the age in milliseconds, since the decision, of each unconfirmed start. */
	*unconfirmedStartAges(): Generator<number> {
		const now = this.context.clock.now()
		for (const { decidedAt = now } of this.unconfirmedStarts()) yield now - decidedAt
	}

	/** Ordered starts without confirmation, except those so late that the cause is their worker. */
	private *unconfirmedStarts(): Generator<Run> {
		const now = this.context.clock.now()
		for (const run of this.unconfirmed) {
			const { isOrdered, decidedAt = now } = run
			const most = this.isReachable(run)
				? MAX_CONFIRMATION_WAIT_MS
				: MAX_CONFIRMATION_WAIT_UNREACHABLE_MS
			if (isOrdered && now - decidedAt <= most) yield run
		}
	}

	private isReachable({ worker }: Run): boolean {
		return this.workers.find(worker)?.isUnreachable === false
	}

	/**
	 * Applies a new configuration to the runs: they stay where they are, and count as the next leader
	 * would count them.
	 */
	onConfigured(): void {
		const { state, clock, ledger } = this.context
		for (const run of this.runs.values()) {
			const { name, step, worker } = run
			const job = state.jobs.find(name.job)
			if (!job) continue
			run.times = stepTimesOf(job, name.repeat, name.step)
			const { urgent, yields } = this.precedence.precedenceOf(
				job.queue,
				step,
				clock.now(),
				job.beyondRate
			)
			run.yields = yields
			if (run.urgent === urgent) continue
			releaseClaim(ledger, worker, run)
			run.urgent = urgent
			restoreClaim(ledger, worker, run)
		}
	}

	/** Restores the runs of a job that an earlier leader started. */
	restoreJob(job: JobRecord): void {
		const members: Run[] = []
		for (const { text, task } of tasksOf(job)) {
			if (task.status !== TaskStatus.Placed) continue
			const run = this.restoreRun(job, text, task)
			if (run?.step.gang && run.phase === RunPhase.Starting && !isGangDone(job, run))
				members.push(run)
		}
		this.gangs.restore(members)
	}

	private restoreRun(job: JobRecord, text: string, task: TaskRecord): Run | undefined {
		const place = this.context.state.jobs.locate(text)
		if (!place) return undefined
		const run = this.add(text, place.name, job, task.attempt, task.worker)
		restoreClaim(this.context.ledger, task.worker, run)
		run.checkpoint = task.checkpoint
		run.isRestored = true
		run.seenAtWork = task.seenAtWork === task.attempt
		if (!isActive(job) || task.finished) this.requestStop(run, StopReason.NoLongerNeeded)
		return run
	}

	/** Records a decision until its start is committed or voided. */
	onDecided(task: string, decision: Decision): void {
		this.pending.set(task, decision)
	}

	/**
	 * @returns ids of the jobs with a decided run for a worker whose start is not committed yet.
	 */
	decidedFor(worker: string): string[] {
		const tasks = [...this.pending].filter(([, decision]) => decision.worker === worker)
		return tasks.map(([task]) => jobIdOf(task))
	}

	/** Handles the committed start of a run: its worker is ordered to start it. */
	onStartCommitted(name: TaskName, attempt: number, worker: string): void {
		const text = formatTaskName(name)
		const job = this.context.state.jobs.find(name.job)
		if (!job) return
		const run = this.add(text, name, job, attempt, worker)
		if (run.step.gang) this.gangs.onStartCommitted(run)
		else this.orders.sendOrder(run)
	}

	/** Handles a decided start that took no effect. */
	onStartVoided(name: TaskName, attempt: number, worker: string): void {
		const job = this.context.state.jobs.find(name.job)
		const decision = this.takeDecision(formatTaskName(name))
		this.context.health.onProbeOver(worker, formatTaskName(name))
		if (!job) return
		const service = decision?.service ?? job.queue.service
		const account = this.accounts.accountOf(job)
		const claimed = claimOf(job, name.step, service, decision?.urgent ?? false, account)
		releaseClaim(this.context.ledger, worker, claimed)
		const { gang, count } = claimed.step
		if (gang) this.gangs.onStartVoided(name, attempt, count)
	}

	/** Handles the end of a run: its resources are released. */
	onEnded(name: TaskName, attempt: number, worker: string, how: RunEnd): void {
		const text = formatTaskName(name)
		const run = this.runs.get(text)
		if (!run || run.attempt !== attempt) return
		this.runs.delete(text)
		this.unconfirmed.delete(run)
		this.workers.find(worker)?.runs.delete(text)
		releaseClaim(this.context.ledger, worker, run)
		const { health, clock, meter } = this.context
		meter.count(Measure.RunsEnded, { how })
		health.onProbeOver(worker, text)
		if (how === RunEnd.Done) this.workerHealth.onSuccess(run)
		if (how === RunEnd.Failed) this.workerHealth.onFailure(run)
		if (how === RunEnd.Failed || how === RunEnd.LeaseExpired)
			this.workers.losses.reliability.recordFailure(worker, clock.now())
		this.markGangEnding(run)
		this.gangs.onMemberEnded(run, how === RunEnd.Done)
		if (how !== RunEnd.Done) reportWaste(this.context, run, how)
	}

	/**
	 * Marks the other members of a planned gang as ending: they end soon after the first one has.
	 */
	private markGangEnding(run: Run): void {
		const job = this.context.state.jobs.find(run.name.job)
		if (run.isEnding || !job || !shouldPlanGang({ step: run.step, queue: job.queue })) return
		for (const member of this.gangs.membersOf(run)) member.isEnding = true
	}

	/** Stops all runs of a job. */
	stopJob(job: JobRecord): void {
		for (const { text } of tasksOf(job)) {
			const run = this.runs.get(text)
			if (run) this.requestStop(run, StopReason.NoLongerNeeded)
		}
	}

	/** Stops the run of a task that an earlier run has completed, together with its gang. */
	stopTask(name: TaskName): void {
		const run = this.runs.get(formatTaskName(name))
		if (!run) return
		for (const one of this.gangs.membersOf(run)) this.requestStop(one, StopReason.NoLongerNeeded)
	}

	/** Stops a run to free capacity for an urgent step. It resumes from its checkpoint later. */
	preempt(run: Run, step: string): void {
		const { taskId: task, attempt, worker, percent } = run
		this.context.log.info(LeaderEvent.RunPreempted, { task, attempt, worker, percent, for: step })
		this.context.meter.count(Measure.Preemptions)
		this.requestStop(run, StopReason.Preempted)
	}

	/** Stops the runs that should not be on a leaving worker when it is gone. */
	stopMovableRuns(view: WorkerView, now: number): void {
		const { timing } = this.context
		const soon = view.leavesAt - now < timing.leaveMargin
		for (const run of view.runs.values()) {
			const movable = run.step.lasting || (soon && run.step.checkpoints)
			if (movable && run.phase === RunPhase.Running) this.requestStop(run, StopReason.Leaving)
		}
	}

	/** Repeats unanswered orders, and checks gangs and leaving workers. */
	tick(now: number): void {
		for (const run of this.runs.values()) {
			if (run.isOrderPending || now < run.retryAt) continue
			if (run.phase === RunPhase.Starting || run.phase === RunPhase.Stopping)
				this.orders.sendOrder(run)
		}
		this.gangs.tick(now)
		this.begunJobs.tick(now)
		for (const view of this.workers.all()) if (view.isDraining) this.stopMovableRuns(view, now)
	}

	/** Handles a poll: compares the runs that a worker lists with those it should have. */
	onPolled(view: WorkerView, result: PollResult & { kind: 'done' }, sentAt: number): void {
		const listed = new Set<string>()
		for (const { task, attempt, checkpoint, percent, measure } of result.running) {
			const run = this.runs.get(task)
			if (run?.confirmedAt === undefined) this.begunJobs.add(jobIdOf(task))
			if (!run || run.worker !== view.id || run.attempt !== attempt) {
				this.workers.onStrayRun(view, task, attempt)
				continue
			}
			listed.add(task)
			const now = this.context.clock.now()
			if (checkpoint !== run.checkpoint) run.checkpointAt = now
			Object.assign(run, { checkpoint, percent, measure, missedPolls: 0 })
			run.progress.addReading(percent, result.clock, now)
			run.observedTime.onListed(result.clock)
			this.clearIfHarmless(run)
			this.workerHealth.onListed(run)
			this.recordSeenAtWork(run)
			if (run.phase === RunPhase.Starting) this.enterPhase(run, RunPhase.Running)
			this.gangs.onProgress(run)
		}
		for (const { task, attempt } of result.ended) {
			listed.add(task)
			this.onListedEnded(view, task, attempt)
		}
		for (const run of view.runs.values()) {
			if (!listed.has(run.taskId)) this.onNotListed(run, sentAt)
		}
		this.pacer.adjust(view)
		this.checkStalls(view)
	}

	/** Clears a lasting task that has run for long: it did not cause earlier worker crashes. */
	private clearIfHarmless(run: Run): void {
		const { state, proposals } = this.context
		if (!run.step.lasting || run.observedTime.minimum < HARMLESS_AFTER_MS) return
		const task = state.jobs.locate(run.taskId)?.task
		if (!task || countedCrashesOf(task).length === 0 || run.isClearProposed) return
		run.isClearProposed = true
		const done = (): void => void (run.isClearProposed = false)
		proposals.propose({ kind: 'cleared', tasks: [run.taskId] }, done)
	}

	/**
	 * Records in the replicated state that a suspected task has outlived its startup. If its worker
	 * crashes under the next leader, the task is not blamed as if it had just started.
	 */
	private recordSeenAtWork(run: Run): void {
		if (!run.isSuspected || run.seenAtWork || !run.observedTime.hasOutlivedStartup) return
		run.seenAtWork = true
		const { taskId: task, attempt } = run
		this.context.proposals.propose({ kind: 'at-work', runs: [{ task, attempt }] })
	}

	/**
	 * Marks a run that its worker lists as ended, so that it is not ordered again until the commit.
	 */
	private onListedEnded(view: WorkerView, task: string, attempt: number): void {
		const run = this.runs.get(task)
		if (!run || run.worker !== view.id || run.attempt !== attempt) return
		if (run.phase === RunPhase.Starting && !run.isOrderPending)
			this.enterPhase(run, RunPhase.Stopped)
	}

	/** Excludes a worker on which runs stall from new work, and moves those runs. */
	private checkStalls(view: WorkerView): void {
		const now = this.context.clock.now()
		const { stalls } = this.workers
		if (stalls.update(view, this.workers.size, now)) {
			const { log, meter } = this.context
			log.warn(LeaderEvent.WorkerStalled, { worker: view.id, runs: view.runs.size })
			meter.count(Measure.StalledWorkers)
		}
		if (!stalls.isStalled(view.id, now) || view.isDraining) return
		for (const run of stalls.getRunsToMove(view)) this.move(run)
	}

	/** Stops a run so that it resumes elsewhere. */
	private move(run: Run): void {
		const { taskId: task, attempt, worker, percent } = run
		this.context.log.info(LeaderEvent.RunMoved, { task, attempt, worker, percent })
		this.context.meter.count(Measure.Moves)
		this.listener.onNotServed(run.name, worker)
		this.requestStop(run, StopReason.Moved)
	}

	private add(text: string, name: TaskName, job: JobRecord, attempt: number, worker: string): Run {
		const step = job.request.steps[name.step]
		const decision = this.takeDecision(text)
		const now = this.context.clock.now()
		const { urgent, yields } =
			decision ?? this.precedence.precedenceOf(job.queue, step, now, job.beyondRate)
		const service = this.workers.find(worker)?.worker.service ?? job.queue.service
		const origin = {
			...claimOf(job, name.step, service, urgent, this.accounts.accountOf(job)),
			taskId: text,
			name,
			attempt,
			worker,
			yields,
			times: stepTimesOf(job, name.repeat, name.step),
			ticket: decision?.ticket ?? '',
			decidedAt: decision?.at,
			needsTicket: job.queue.advice !== undefined,
			isSuspected: this.isSuspected(text),
		}
		const run = createRun(origin, now, this.workers.find(worker)?.speed)
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

	private enterPhase(run: Run, phase: RunPhase): void {
		run.phase = phase
		if (phase !== RunPhase.Starting) this.unconfirmed.delete(run)
		run.phaseSince = this.context.clock.now()
		if (phase === RunPhase.Running) this.onConfirmed(run)
		run.retryAt = 0
	}

	private onConfirmed(run: Run): void {
		if (run.confirmedAt !== undefined) return
		run.confirmedAt = run.phaseSince
		if (run.decidedAt === undefined) return
		const delay = run.phaseSince - run.decidedAt
		this.context.meter.observe(Measure.StartDelay, delay)
		this.listener.onStarted(delay)
	}

	private requestStop(run: Run, reason: StopReason): void {
		if (run.phase === RunPhase.Stopping || run.phase === RunPhase.Stopped) return
		if (reason !== StopReason.NoLongerNeeded)
			this.gangs.onMemberFailed(run, GangFailure.Stopped, reason)
		run.stopReason = reason
		this.enterPhase(run, RunPhase.Stopping)
		if (!run.isOrderPending) this.orders.sendOrder(run)
	}

	/**
	 * Abandons members of a gang: those never ordered to start end at once, the others are stopped.
	 */
	private abandon(runs: readonly Run[]): void {
		const unordered = runs.filter(({ isOrdered, isRestored }) => !isOrdered && !isRestored)
		if (unordered.length > 0) this.proposeEnds(unordered, RunEnd.Refused)
		for (const run of runs) {
			if (!unordered.includes(run)) this.requestStop(run, StopReason.Withdrawn)
		}
	}

	private onNotListed(run: Run, sentAt: number): void {
		if (run.isRestored && run.phase === RunPhase.Starting && (run.needsTicket || run.step.gang)) {
			// It never started, and orders of earlier leaders are fenced off. Its ticket is unknown.
			this.gangs.onMemberFailed(run, GangFailure.NotStarted)
			this.proposeEnd(run, RunEnd.Refused)
			return
		}
		const settled = run.phase === RunPhase.Running || run.phase === RunPhase.Stopped
		if (!settled || run.phaseSince >= sentAt) return
		run.missedPolls += 1
		const polls = run.phase === RunPhase.Stopped ? 1 : ABSENT_POLLS
		if (run.missedPolls < polls) return
		this.proposeEnd(run, run.phase === RunPhase.Stopped ? RunEnd.Refused : RunEnd.Lost)
	}

	private proposeEnd(run: Run, how: RunEnd): void {
		this.proposeEnds([run], how)
	}

	private proposeEnds(ended: readonly Run[], how: RunEnd): void {
		for (const run of ended) run.retryAt = Number.POSITIVE_INFINITY
		const runs = ended.map(({ taskId: task, attempt, checkpoint }) => ({
			task,
			attempt,
			how,
			checkpoint,
		}))
		this.context.proposals.propose({ kind: 'end', runs, at: epochTimeOf(this.context) })
	}
}

/** @returns the id of the job of a task, given the task's name in text form. */
function jobIdOf(task: string): string {
	return task.slice(0, task.indexOf('.'))
}

/**
 * @returns whether another member of the gang of a run has completed the work of the whole gang.
 */
function isGangDone(job: JobRecord, { name }: Run): boolean {
	return job.repeats[name.repeat][name.step].gangDone === true
}
