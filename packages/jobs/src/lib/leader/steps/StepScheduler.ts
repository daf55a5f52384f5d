/**
 * Schedules the steps that have tasks to start: what is placed where, and what advice is requested
 * before.
 */
import { Measure } from '@rillrudder/telemetry'
import { formatTaskName, RunEnd, type TaskName } from '../../records/Job'
import {
	isActive,
	isStepDone,
	isStepReady,
	TaskStatus,
	type JobRecord,
} from '../../state/JobRecord'
import { Suspicion } from '../../state/TaskCrashes'
import { GangPlanner } from '../../gangs/GangPlanner'
import { shouldPlanGang } from '../../gangs/shouldPlanGang'
import type { Precedence, StepPrecedence } from '../../placement/Precedence'
import { Reservations } from '../../placement/Reservations'
import { stepTimesOf } from '../../placement/stepTimes'
import type { LeaderShares } from '../../shares/LeaderShares'
import { StepShares } from '../../shares/StepShares'
import { UrgentCapacity } from '../../placement/UrgentCapacity'
import type { AccountUsage } from '../../accounts/AccountUsage'
import { hasCapacity, type WorkerOption } from './chooseWorkerForStep'
import { PendingRepeats, dueTimeOf } from './PendingRepeats'
import { epochTimeOf, type LeaderContext } from '../LeaderContext'
import type { PlacedTask } from './placeGang'
import { Preemption } from './Preemption'
import { Quarantine } from './Quarantine'
import { OpenWorkerList } from './OpenWorkerList'
import { PlacementPass } from './PlacementPass'
import type { RunController } from '../runs/RunController'
import { StepLog } from './StepLog'
import { StepWorkerOptions } from './StepWorkerOptions'
import type { StartWindow } from './StartWindow'
import { StepPlacement } from './StepPlacement'
import { StepQuestions } from '../advice/StepQuestions'
import { byUrgency, stepName, StepWork } from './StepWork'
import { StepWaitMonitor } from './StepWaitMonitor'
import {
	isBarred,
	waitReasonInPass,
	explainWait,
	WaitReason,
	type WaitExplanation,
} from './waitReason'
import type { WorkerRegistry } from '../workers/WorkerRegistry'

const NO_WORKERS: ReadonlySet<string> = new Set()

/**
 * Schedules the steps that have tasks to start.
 *
 * @internal
 */
export class StepScheduler {
	private readonly steps = new Map<string, StepWork>()
	private order: StepWork[] = []
	private readonly questions: StepQuestions
	private readonly log: StepLog
	private readonly waits: StepWaitMonitor
	private readonly preemption: Preemption
	private readonly pendingRepeats = new PendingRepeats()
	private isOrderStale = true
	/**
	 * The open workers as of the latest full pass; passes in between compute the capacity left to
	 * urgent work from them.
	 */
	private openAtFullPass: readonly WorkerOption[] = []
	private readonly urgentCapacity = new UrgentCapacity()
	private readonly reservations = new Reservations()
	private readonly quarantine: Quarantine
	private readonly shares: StepShares
	private readonly gangs: GangPlanner
	private readonly placement: StepPlacement
	private readonly openWorkers: OpenWorkerList

	constructor(
		private readonly context: LeaderContext,
		private readonly workers: WorkerRegistry,
		private readonly runs: RunController,
		private readonly precedence: Precedence,
		private readonly accounts: AccountUsage,
		shares: LeaderShares,
		private readonly startWindow: StartWindow
	) {
		this.openWorkers = new OpenWorkerList(context, workers)
		this.quarantine = new Quarantine(context.state, runs)
		this.shares = new StepShares(context, accounts, shares)
		this.questions = new StepQuestions(context, shares)
		const { reliability } = workers.losses
		this.gangs = new GangPlanner(context, this.reservations, this.questions, reliability)
		const { urgentCapacity, reservations, quarantine, gangs, openWorkers } = this
		const dependencies = { urgentCapacity, reservations, quarantine, gangs, openWorkers }
		this.placement = new StepPlacement(context, accounts, dependencies)
		this.log = new StepLog(context)
		this.waits = new StepWaitMonitor(context, (work, pass) => this.explainWaitOf(work, pass))
		this.preemption = new Preemption(context, runs, (work, option) => this.admits(work, option))
	}

	/** Updates the gauges of waiting steps. */
	measure(): void {
		const counts = new Map<number, number>()
		for (const work of this.steps.values()) {
			const { priority } = work.queue
			const isWaiting = work.getWaitingTasks().length > 0 && this.isReady(work)
			counts.set(priority, (counts.get(priority) ?? 0) + (isWaiting ? 1 : 0))
		}
		for (const [priority, count] of counts) {
			this.context.meter.gauge(Measure.StepsWaiting, count, { priority: String(priority) })
		}
		this.waits.measure(this.getWaitingSteps(), this.createInspectionPass())
	}

	/** The steps that could start and have unplaced tasks. */
	private getWaitingSteps(): StepWork[] {
		return [...this.steps.values()].filter((work) => this.isWaiting(work))
	}

	private isWaiting(work: StepWork): boolean {
		return work.readyAt !== undefined && this.isReady(work) && work.getWaitingTasks().length > 0
	}

	/** @returns for each account how many of its steps could start and have unplaced tasks. */
	countWaitingByAccount(): ReadonlyMap<string, number> {
		const counts = new Map<string, number>()
		for (const work of this.steps.values()) {
			const name = work.account?.terms.name
			if (name === undefined || work.getWaitingTasks().length === 0 || !this.isReady(work)) continue
			counts.set(name, (counts.get(name) ?? 0) + 1)
		}
		return counts
	}

	/**
	 * @returns a text for people: why tasks of a step wait, for how long, and what ends the wait.
	 */
	explainWaitByName(name: string): string {
		const work = this.steps.get(name)
		if (!work) return 'it is not due yet'
		const { text, until } = this.explainWaitOf(work, this.createInspectionPass())
		const waited = Math.round(work.getWaitTime(this.context.clock.now()))
		return `${text}; for ${waited} ms, until ${until}`
	}

	private explainWaitOf(work: StepWork, pass: PlacementPass): WaitExplanation {
		const eligible = pass.getEligible(work)
		const withCapacity = eligible.filter((option) => this.admits(work, option))
		const reservation = this.reservations.getExpectedTimes(work)
		const isWithinQuota = this.accounts.canStart(work.account, work.step)
		const isHeld = this.quarantine.getStartableTasks(work).length === 0
		const isStartWindowFull = !this.startWindow.admits(this.countedStarts)
		const now = this.context.clock.now()
		const allowed = this.filterReady(work, withCapacity, now)
		const isIsolated = this.placement.isIsolated(work, allowed, now)
		return explainWait(work, {
			eligible,
			withCapacity,
			isHeld,
			isIsolated,
			isWithinQuota,
			reservation,
			isStartWindowFull,
			now,
		})
	}

	/** Applies a new configuration to the steps that are open. */
	onConfigured(): void {
		for (const work of this.steps.values()) {
			const { job, repeat, stepIndex: step } = work
			// A reservation is at the workers of the service that the queue may have left.
			this.reservations.drop(work)
			work.configure(stepTimesOf(job, repeat, step), this.precedenceOf(job, step))
		}
		this.isOrderStale = true
	}

	/** Adds a job: opens the repeats that are due and keeps the others until they are. */
	addJob(job: JobRecord): void {
		this.precedence.recordQueue(job.queue, this.context.clock.now())
		job.repeats.forEach((_, number) => {
			if (dueTimeOf(job, number) > epochTimeOf(this.context)) this.pendingRepeats.add(job, number)
			else this.openReady(job, number)
		})
	}

	/** Removes a job that has ended. */
	removeJob(job: JobRecord): void {
		for (const work of this.steps.values()) if (work.job === job) this.close(work)
		this.pendingRepeats.drop(job)
		this.isOrderStale = true
	}

	/** Handles the start of a run. */
	onRunStarted(task: TaskName, worker: string): void {
		this.steps.get(stepNameOf(task))?.proposedTasks.delete(task.index)
		this.quarantine.onRunStarted(formatTaskName(task), worker, this.context.clock.now())
	}

	/** Handles a run whose start was decided but will not happen. */
	onRunVoided(task: TaskName, worker: string): void {
		this.quarantine.onRunEnded(formatTaskName(task), worker)
		const work = this.steps.get(stepNameOf(task))
		if (!work) return
		work.proposedTasks.delete(task.index)
		work.isFullyPlaced = false
		work.adjustTaskCount(worker, -1)
	}

	/** Handles the end of a run: its task may have to start again, or later steps may start. */
	onRunEnded(task: TaskName, worker: string, how: RunEnd): void {
		this.quarantine.onRunEnded(formatTaskName(task), worker)
		const work = this.steps.get(stepNameOf(task))
		work?.adjustTaskCount(worker, -1)
		if (how === RunEnd.Failed || how === RunEnd.Lost) work?.recordFailure(worker)
		this.onTaskSettled(task)
	}

	/** Handles a task that has no run any more: it is done or has to start again. */
	onTaskSettled(task: TaskName): void {
		const job = this.context.state.jobs.find(task.job)
		if (!job || !isActive(job)) return
		const record = job.repeats[task.repeat][task.step]
		if (isStepDone(record)) {
			const work = this.steps.get(stepNameOf(task))
			if (work) this.close(work)
			this.isOrderStale = true
			this.openReady(job, task.repeat)
		} else {
			const mustStartAgain = record.tasks[task.index].status === TaskStatus.Waiting
			if (mustStartAgain) this.reopen(job, task)
			else if (record.done === 1) this.requestAdviceAhead(job, task.repeat, task.step)
		}
	}

	/**
	 * Opens or reopens steps of a job that have tasks to start but that no event has reported.
	 *
	 * @returns the names of these steps.
	 */
	reconcile(job: JobRecord): readonly string[] {
		if (!isActive(job)) return []
		const missed: string[] = []
		job.repeats.forEach((steps, repeat) => {
			if (dueTimeOf(job, repeat) > epochTimeOf(this.context)) return
			steps.forEach(({ tasks }, step) => {
				const isWaiting = tasks.some(({ status }) => status === TaskStatus.Waiting)
				if (!isWaiting || !isStepReady(job, repeat, step)) return
				if (this.reopenIfMissed(job, repeat, step)) missed.push(stepName(job.id, repeat, step))
			})
		})
		return missed
	}

	private reopenIfMissed(job: JobRecord, repeat: number, step: number): boolean {
		const known = this.steps.get(stepName(job.id, repeat, step))
		const work = known ?? this.open(job, repeat, step)
		// Held tasks can't be placed, so a step with no others counts as fully placed.
		const wasOverlooked = work.isFullyPlaced && this.quarantine.getStartableTasks(work).length > 0
		if (wasOverlooked) work.isFullyPlaced = false
		return !known || wasOverlooked
	}

	/** Tries a task again that could not start before. */
	reconsider(task: TaskName): void {
		const work = this.steps.get(stepNameOf(task))
		if (!work) return
		work.shouldTryAllWorkers = true
		work.isFullyPlaced = false
	}

	/** Reopens the step of a task that has to start again. */
	private reopen(job: JobRecord, task: TaskName): void {
		const work = this.open(job, task.repeat, task.step)
		work.shouldTryAllWorkers = true
		work.isFullyPlaced = false
	}

	/** Handles a ticket that a worker has refused. */
	onTicketRefused(task: TaskName, worker: string): void {
		this.steps.get(stepNameOf(task))?.advice.onTicketRefused(worker)
	}

	/**
	 * Handles a run that its worker does not serve, because it stalls or is refused there: the step
	 * prefers other workers from now on.
	 */
	onRunNotServed(task: TaskName, worker: string): void {
		this.steps.get(stepNameOf(task))?.recordFailure(worker)
	}

	/** Opens repeats that have become due. */
	tick(now: number): void {
		this.questions.tick(now)
		for (const { job, repeat } of this.pendingRepeats.takeDue(epochTimeOf(this.context)))
			this.openReady(job, repeat)
	}

	/**
	 * Starts the tasks that can start now.
	 *
	 * @param now - the current time, on the leader's clock.
	 * @param full - whether unplaced steps are tried although no capacity was released.
	 */
	place(now: number, full: boolean): void {
		const startsUnderWay = this.countedStarts
		// Capacity that is released meanwhile stays recorded for the next pass.
		if (!full && !this.startWindow.admits(startsUnderWay)) return
		if (this.isOrderStale) this.sort()
		if (full && this.updateShares(now)) this.sort()
		if (full) this.openWorkers.invalidate()
		const released = this.context.ledger.takeReleased()
		const due = this.order.filter((work) => !work.isFullyPlaced && this.isReady(work))
		const pass = new PlacementPass(now, full, this.openWorkers, released)
		if (full) this.waits.logOverdueSteps(this.order, (work) => this.isWaiting(work), pass)
		const tried = due.filter((work) => pass.shouldTry(work))
		if (tried.length === 0) return
		if (full) this.openAtFullPass = pass.open
		this.urgentCapacity.beginPass(this.openAtFullPass, now)
		this.reservations.beginPass(now, full)
		const decidedBefore = this.runs.decidedStarts
		for (const work of this.shares.orderForPass(tried)) {
			if (this.startWindow.admits(startsUnderWay + this.runs.decidedStarts - decidedBefore))
				this.placeStep(work, pass)
			else deferStep(work, pass)
		}
	}

	/** How many starts are under way; counted only while the window limits them. */
	private get countedStarts(): number {
		return this.startWindow.isBounded ? this.runs.startsInProgress : 0
	}

	private isReady({ job, repeat, stepIndex: number }: StepWork): boolean {
		return isStepReady(job, repeat, number)
	}

	/**
	 * Updates usefulness and account shares: steps that are late or belong to an account over its
	 * share go after others.
	 *
	 * @returns whether the order has changed.
	 */
	private updateShares(now: number): boolean {
		const { order: steps, reservations } = this
		const waits = (work: StepWork): boolean => this.isWaiting(work)
		return this.shares.update(
			{ steps, workers: this.workers.all(), isWaiting: waits, reservations },
			now
		)
	}

	private sort(): void {
		this.order = [...this.steps.values()].sort(byUrgency)
		this.isOrderStale = false
	}

	private close(work: StepWork): void {
		this.steps.delete(work.name)
		this.log.recordClosed(work)
		this.reservations.drop(work)
	}

	private openReady(job: JobRecord, repeat: number): void {
		if (!isActive(job)) return
		job.repeats[repeat].forEach((record, step) => {
			if (!isStepDone(record) && isStepReady(job, repeat, step)) this.open(job, repeat, step)
		})
	}

	private open(job: JobRecord, repeat: number, step: number): StepWork {
		const name = stepName(job.id, repeat, step)
		const known = this.steps.get(name)
		if (known) return known
		const times = stepTimesOf(job, repeat, step)
		const standing = this.precedenceOf(job, step)
		const account = this.accounts.accountOf(job)
		const work = new StepWork(job, repeat, step, times, standing, account)
		this.steps.set(name, work)
		this.isOrderStale = true
		this.shares.onStepAdded(work)
		return work
	}

	private precedenceOf(job: JobRecord, step: number): StepPrecedence {
		const now = this.context.clock.now()
		return this.precedence.precedenceOf(job.queue, job.request.steps[step], now, job.beyondRate)
	}

	/**
	 * Requests advice for the steps after a step whose first task is done, since its other tasks
	 * will soon be done too.
	 */
	private requestAdviceAhead(job: JobRecord, repeat: number, step: number): void {
		if (!job.queue.advice) return
		job.request.steps.forEach((laterStep, number) => {
			if (!laterStep.dependsOn.includes(step)) return
			const work = this.open(job, repeat, number)
			const eligible = this.createInspectionPass().getEligible(work)
			if (shouldPlanGang(work)) this.gangs.discoverWorkers(work, eligible, this.context.clock.now())
			else this.questions.ask(work, eligible, work.step.count)
		})
	}

	/** Creates a pass for looking at the current workers outside of placement. */
	private createInspectionPass(): PlacementPass {
		return new PlacementPass(this.context.clock.now(), false, this.openWorkers, NO_WORKERS)
	}

	/**
	 * Whether a worker has capacity for one more task of a step and enough is left for urgent work.
	 */
	private admits(work: StepWork, option: WorkerOption): boolean {
		return hasCapacity(work, option) && this.urgentCapacity.allows(work)
	}

	private placeStep(work: StepWork, pass: PlacementPass): void {
		const { now, isFull: full } = pass
		work.readyAt ??= now
		const waiting = this.quarantine.getStartableTasks(work)
		work.isFullyPlaced = waiting.length === 0
		if (work.isFullyPlaced) {
			const isHeld = work.getWaitingTasks().length > 0
			return work.waits.setReason(isHeld ? WaitReason.Held : undefined, now)
		}
		if (!this.accounts.canStart(work.account, work.step)) {
			work.waits.setReason(WaitReason.Quota, now)
			return this.reservations.drop(work)
		}
		if (pass.isLimitedToFreed(work)) return this.placeOnFreed(work, waiting, pass)
		work.shouldTryAllWorkers = false
		const workers = new StepWorkerOptions(work, pass)
		const { eligible, ready: options } = workers
		if (!work.hasLoggedBarred && isBarred(work, eligible)) this.log.logBarred(work, eligible.length)
		const left = this.placeAmong(work, waiting, options, now)
		if (left === 0 || (full && this.probeClosed(work, workers, pass))) return
		if (full) {
			const isIsolated = (): boolean => this.placement.isIsolated(work, options, now)
			work.waits.setReason(waitReasonInPass(work, { eligible, options, isIsolated }), now)
		}
		if (shouldPlanGang(work)) return full ? this.gangs.plan(work, eligible, now) : undefined
		if (full && this.reservations.canReserve(work))
			this.reservations.reserveIfNeeded(work, left, workers.allowed)
		const reserved = this.reservations.getExpectedTimes(work)
		if (work.queue.advice) this.questions.ask(work, eligible, left, reserved?.next)
		if (work.urgent && !work.step.gang) {
			this.preemption.preemptFor(
				work,
				{ eligible, options, tasks: left, capacityAt: reserved?.last },
				now
			)
		}
	}

	/**
	 * Places tasks that no open worker can run on workers that are closed because they failed what
	 * they started: nothing else would show that these are sound again.
	 *
	 * @returns whether no task is left.
	 */
	private probeClosed(
		work: StepWork,
		{ eligible, ready }: StepWorkerOptions,
		pass: PlacementPass
	): boolean {
		const { now } = pass
		const closed = pass.getProbeable(work)
		if (closed.length === 0 || eligible.some((option) => hasCapacity(work, option))) return false
		const probeable = this.filterReady(work, closed, now)
		const waiting = this.quarantine.getStartableTasks(work)
		if (work.queue.advice && probeable.length < closed.length)
			this.questions.ask(work, closed, waiting.length)
		const options = work.step.gang ? [...ready, ...probeable] : probeable
		return this.placeAmong(work, waiting, options, now) === 0
	}

	/**
	 * Places tasks on workers where capacity was released, and requests advice if nothing is known
	 * about some of these workers.
	 */
	private placeOnFreed(work: StepWork, waiting: readonly number[], pass: PlacementPass): void {
		const freed = pass.getFreedFor(work)
		if (freed.length === 0) return
		const options = this.filterReady(work, freed, pass.now)
		const left = this.placeAmong(work, waiting, options, pass.now)
		if (left === 0 || options.length === freed.length || work.advice.isAsking) return
		const reserved = this.reservations.getExpectedTimes(work)
		this.questions.ask(work, pass.getEligible(work), left, reserved?.next)
	}

	/** @returns how many tasks could not be placed. */
	private placeAmong(
		work: StepWork,
		waiting: readonly number[],
		options: readonly WorkerOption[],
		now: number
	): number {
		const placed = this.placement.place(work, waiting, options, now)
		const left = waiting.length - placed.length
		work.isFullyPlaced = left === 0
		if (placed.length > 0) this.startTasks(work, placed, now)
		if (left > 0) return left
		work.waits.setReason(undefined, now)
		this.reservations.drop(work)
		return 0
	}

	/** Of some workers, those that may run the step now. */
	private filterReady(
		work: StepWork,
		options: readonly WorkerOption[],
		now: number
	): readonly WorkerOption[] {
		if (!work.queue.advice) return options
		return options.filter(({ view }) => work.advice.ticketOf(view.id, now) !== undefined)
	}

	private startTasks(work: StepWork, placed: readonly PlacedTask[], now: number): void {
		const { job, repeat, stepIndex: step, step: request, record } = work
		const gangAttempt = 1 + Math.max(0, ...record.tasks.map((task) => task.attempt))
		const runs = placed.map(({ index, worker }) => {
			const task = formatTaskName({ job: job.id, repeat, step, index })
			const attempt = request.gang ? gangAttempt : record.tasks[index].attempt + 1
			work.proposedTasks.add(index)
			const isolated = this.quarantine.suspicionOf(work, index) === Suspicion.Isolated
			if (isolated) this.quarantine.onStartDecided(work, task, worker, now)
			const ticket = work.advice.ticketOf(worker, now) ?? ''
			const { urgent, yields, service } = work
			this.runs.onDecided(task, { worker, ticket, urgent, yields, service, at: now })
			return { task, attempt, worker }
		})
		this.log.logPlaced(work, placed, now)
		const whole = request.gang ? true : undefined
		this.context.proposals.propose({ kind: 'begin', runs, whole })
		this.runs.recordBegunJobs()
	}
}

/** Leaves a step waiting until starts that are under way are confirmed. */
function deferStep(work: StepWork, { now, isFull: full }: PlacementPass): void {
	work.readyAt ??= now
	if (full) work.waits.setReason(WaitReason.StartWindow, now)
}

function stepNameOf(task: TaskName): string {
	return stepName(task.job, task.repeat, task.step)
}
