/**
 * A simulated worker machine: it carries out orders as the platform's workers do, under a lease on
 * its own clock, and lists its runs and their ends until the ends are acknowledged.
 */
import {
	formatIncarnation,
	Refusal,
	RunEnd,
	workerNameOf,
	type Incarnation,
	type ListedEnd,
	type ListedRun,
	type PollOrder,
	type PollResult,
	type OrderResult,
	type StartOrder,
	type Step,
	type StopOrder,
	type Worker,
} from '@rillrudder/jobs'
import { NO_RESOURCES, plus, type Resources } from '@rillrudder/scheduler'
import type { Clock, Random } from '@rillrudder/utils'
import type { GangRegistry } from './GangRegistry'
import type { JobInvariants } from './JobInvariants'
import { OfferedCapacity } from './OfferedCapacity'
import { FAILING_IMAGE } from './randomJob'

/** The longest lease that a worker accepts. */
const MAX_LEASE_MS = 10_000
/** Interval between two checkpoints of a run. */
const CHECKPOINT_INTERVAL_MS = 500
/** Maximum error of the wall clock from which a worker reports when it started. */
const START_TIME_ERROR_MS = 5000
/** How long a run takes to stop. */
const STOP_DURATION_MS = 200

/** A run on a worker. @internal */
export interface FleetRun {
	readonly task: string
	readonly attempt: number
	readonly step: Step
	readonly worker: FleetWorker
	checkpoint: string
	checkpointCount: number
	/** Total duration of its work in milliseconds. */
	readonly workMs: number
	/** When it ends by itself; infinite for a long-running task that does not fail. */
	endsAt: number
	/** Whether it will fail, because of the task or of the worker. */
	readonly willFail: boolean
	/** How it ends at `endsAt`. */
	endReason: RunEnd
	nextCheckpointAt: number
}

interface PendingPoll {
	readonly until: number
	readonly answer: () => void
}

/** Dependencies of {@link FleetWorker}. @internal */
export interface FleetWorkerParts {
	readonly clock: Clock
	readonly random: Random
	readonly invariants: JobInvariants
	readonly gangs: GangRegistry
	/** @returns the step of a task, by the task's name. */
	readonly stepOf: (task: string) => Step
	/** @returns whether a ticket allows the worker to run the step of the task now. */
	readonly mayRun: (task: string, worker: string, ticket: string) => boolean
	/**
	 * @returns the reason for refusing a start that could be carried out; undefined to accept it.
	 */
	readonly refusal: () => Refusal | undefined
	/** Called when a run starts. */
	readonly onRunStarted: (machine: FleetWorker, task: string) => void
}

/**
 * A machine; each incarnation of it is a worker.
 *
 * @internal
 */
export class FleetWorker {
	/**
	 * What the worker reports about itself; the id changes with each incarnation even if the name
	 * does not.
	 */
	worker: Worker
	isUp = true
	/** Whether the machine was lost for good. */
	isGone = false
	/** Whether the machine is cut off from the network. */
	isCutOff = false
	isDraining = false
	/** Whether all runs that it starts fail. */
	isFailing = false
	/** Whether its runs make no progress. */
	isStalled = false
	/** Relative speed; at 1 tasks take as long as they declare. */
	speed = 1
	private tickedAt = 0
	sequence = 0
	private readonly offered: OfferedCapacity
	private readonly clockRate: number
	private clockOffset: number
	private fence = 0
	private leaseUntil = 0
	/** Whether there is a lease that has not expired. */
	private hasLease = false
	private endCount = 0
	private readonly runs = new Map<string, FleetRun>()
	private unacknowledgedEnds: ListedEnd[] = []
	/** The highest attempt of each task that has ended or was stopped here. */
	private readonly closedAttempts = new Map<string, number>()
	private pendingPolls: PendingPoll[] = []
	constructor(
		private readonly parts: FleetWorkerParts,
		worker: Worker
	) {
		this.worker = worker
		this.offered = new OfferedCapacity(parts.clock, worker.capacity)
		this.clockRate = 0.98 + parts.random.fraction() * 0.02
		this.clockOffset = parts.random.integer(0, 1_000_000)
	}

	/** Number of runs. */
	get runCount(): number {
		return this.runs.size
	}

	/** What its runs take. */
	get used(): Resources {
		return [...this.runs.values()].reduce((sum, { step }) => plus(sum, step.need), NO_RESOURCES)
	}

	/** @returns whether a task runs on this worker. */
	isRunning(task: string): boolean {
		return this.runs.has(task)
	}

	/** The time of its own clock in whole milliseconds. */
	get ownClock(): number {
		return Math.floor(this.clockOffset + this.parts.clock.now() * this.clockRate)
	}

	/** Ends the incarnation and all its runs. */
	crash(): void {
		this.isUp = false
		const { invariants, gangs } = this.parts
		invariants.onWorkerDied(this.worker.id, this.parts.clock.now())
		for (const run of this.runs.values()) gangs.onRunEnded(run)
		this.runs.clear()
		this.pendingPolls = []
	}

	/**
	 * Changes the offered capacity to a share of the full one, which the next heartbeat reports.
	 */
	resize(share: number): void {
		this.offered.resize(share)
		this.worker = { ...this.worker, capacity: this.offered.current }
	}

	/** The name of the worker, which incarnations may share. */
	get name(): string {
		return workerNameOf(this.worker.id)
	}

	/** Starts a new incarnation under another name. */
	startAs(name: string): void {
		this.startIncarnation({
			name,
			born: this.worker.born === undefined ? undefined : this.reportedStartTime(),
		})
	}

	/** Starts a new incarnation under the same name, with a new clock offset. */
	restart(): void {
		this.clockOffset = this.parts.random.integer(0, 1_000_000)
		this.startIncarnation({ name: this.name, born: this.reportedStartTime() })
	}

	/**
	 * Wall clocks are adjusted: a later incarnation may report an earlier start than the one before
	 * it.
	 */
	private reportedStartTime(): number {
		const { clock, random } = this.parts
		return clock.date().getTime() + random.integer(-START_TIME_ERROR_MS, START_TIME_ERROR_MS)
	}

	private startIncarnation({ name, born }: Incarnation): void {
		this.offered.reset()
		const id = formatIncarnation({ name, born })
		this.worker = { ...this.worker, id, born, capacity: this.offered.current }
		this.isUp = true
		this.isDraining = false
		this.isFailing = false
		this.isStalled = false
		this.fence = 0
		this.leaseUntil = 0
		this.hasLease = false
		this.endCount = 0
		this.sequence = 0
		this.unacknowledgedEnds = []
		this.closedAttempts.clear()
	}

	/** Carries out an order to start. */
	start(order: StartOrder, late: boolean): OrderResult {
		if (order.fence < this.fence) return this.toRefused(Refusal.Fence)
		this.fence = order.fence
		const { task, attempt, spec, ticket } = order
		const past = order.leaseUntil <= this.ownClock
		if (!past) this.extendLease(order.leaseUntil)
		if (attempt <= (this.closedAttempts.get(task) ?? 0)) return this.toRefused(Refusal.Superseded)
		if (this.runs.get(task)?.attempt === attempt) return this.toDone()
		if (past) return this.toRefused(Refusal.LeaseExpired)
		if (!this.parts.mayRun(task, this.worker.id, ticket)) return this.toRefused(Refusal.Ticket)
		const refusal = this.parts.refusal()
		if (refusal) return this.toRefused(refusal)
		const { invariants, clock } = this.parts
		const { checkpoint } = order
		const seen = { worker: this.worker.id, task, attempt, checkpoint, isLate: late }
		// An order that is carried out late fitted the capacity when it was sent.
		const capacity = late ? this.offered.full : this.offered.maxRecent
		invariants.onRunStarted({ ...this.worker, capacity }, seen, spec, clock.now())
		this.startRun(task, attempt, checkpoint)
		this.parts.onRunStarted(this, task)
		return this.toDone()
	}

	/** Carries out an order to stop. */
	stop({ task, attempt, fence }: StopOrder): OrderResult {
		if (fence < this.fence) return this.toRefused(Refusal.Fence)
		this.fence = fence
		const run = this.runs.get(task)
		this.closedAttempts.set(task, Math.max(attempt, this.closedAttempts.get(task) ?? 0))
		if (run && run.attempt <= attempt) {
			this.saveCheckpoint(run)
			run.endsAt = Math.min(run.endsAt, this.parts.clock.now() + STOP_DURATION_MS)
			run.endReason = RunEnd.Stopped
		}
		return this.toDone()
	}

	/** Answers a poll, at once or when a run has ended. */
	poll(order: PollOrder, answer: (result: PollResult) => void): void {
		if (order.fence < this.fence) {
			answer(this.toRefused(Refusal.Fence) as PollResult)
			return
		}
		this.fence = order.fence
		this.acknowledgeEnds(order.endsSeen)
		if (order.leaseUntil !== undefined) this.extendLease(order.leaseUntil)
		const reply = (): void => answer(this.pollResult())
		if (order.wait === 0 || this.unacknowledgedEnds.length > 0) reply()
		else this.pendingPolls.push({ until: this.parts.clock.now() + order.wait, answer: reply })
	}

	/**
	 * Advances to the current time: expires the lease, makes checkpoints, ends runs and answers
	 * polls.
	 */
	tick(): void {
		if (!this.isUp) return
		const now = this.parts.clock.now()
		if (this.isStalled) this.delayRuns(now - this.tickedAt)
		this.tickedAt = now
		if (this.hasLease && this.ownClock >= this.leaseUntil) this.expireLease()
		for (const run of [...this.runs.values()]) {
			if (run.nextCheckpointAt <= now) this.saveCheckpoint(run)
			if (run.endsAt <= now) this.endRun(run, run.endReason)
		}
		const due = this.pendingPolls.filter(
			({ until }) => until <= now || this.unacknowledgedEnds.length > 0
		)
		this.pendingPolls = this.pendingPolls.filter((waiter) => !due.includes(waiter))
		for (const { answer } of due) answer()
	}

	/** Ends a run and adds it to the list of ends. */
	endRun(run: FleetRun, how: RunEnd): void {
		const { task, attempt, checkpoint } = run
		if (!this.runs.delete(task)) return
		this.closedAttempts.set(task, Math.max(attempt, this.closedAttempts.get(task) ?? 0))
		this.unacknowledgedEnds.push({ number: ++this.endCount, task, attempt, how, checkpoint })
		this.parts.invariants.onRunEnded(this.worker.id, task, attempt, how)
		this.parts.gangs.onRunEnded(run)
	}

	private startRun(task: string, attempt: number, checkpoint: string): void {
		const { clock, random, stepOf, gangs } = this.parts
		const step = stepOf(task)
		const workMs = (step.expectedTime * (0.5 + random.fraction())) / this.speed
		const willFail = this.isFailing || step.image === FAILING_IMAGE || random.chance(0.02)
		const run: FleetRun = {
			task,
			attempt,
			step,
			worker: this,
			checkpoint,
			checkpointCount: 0,
			willFail,
			workMs,
			endsAt: step.lasting && !willFail ? Number.POSITIVE_INFINITY : clock.now() + workMs,
			endReason: willFail ? RunEnd.Failed : RunEnd.Done,
			nextCheckpointAt: step.checkpoints
				? clock.now() + CHECKPOINT_INTERVAL_MS
				: Number.POSITIVE_INFINITY,
		}
		this.runs.set(task, run)
		gangs.onRunStarted(run)
	}

	private saveCheckpoint(run: FleetRun): void {
		if (!run.step.checkpoints) return
		run.checkpoint = `${run.task}#${run.attempt}#${++run.checkpointCount}`
		run.nextCheckpointAt = this.parts.clock.now() + CHECKPOINT_INTERVAL_MS
		this.parts.invariants.onCheckpoint(run.task, run.checkpoint)
	}

	/** Delays the ends and checkpoints of stalled runs; stops are not delayed. */
	private delayRuns(span: number): void {
		for (const run of this.runs.values()) {
			run.nextCheckpointAt += span
			if (run.endReason === RunEnd.Done || run.endReason === RunEnd.Failed) run.endsAt += span
		}
	}

	private expireLease(): void {
		this.hasLease = false
		const tasks = this.unacknowledgedEnds.map((end) => end.task)
		this.parts.invariants.onLeaseExpired(this.worker.id, tasks)
		for (const run of [...this.runs.values()]) this.endRun(run, RunEnd.LeaseExpired)
	}

	private extendLease(until: number): void {
		this.hasLease = true
		this.leaseUntil = Math.max(this.leaseUntil, Math.min(until, this.ownClock + MAX_LEASE_MS))
	}

	private acknowledgeEnds(seen: number): void {
		const { invariants, clock } = this.parts
		for (const { number, task, attempt } of this.unacknowledgedEnds) {
			if (number <= seen) invariants.onEndAcknowledged(this.worker.id, task, attempt, clock.now())
		}
		this.unacknowledgedEnds = this.unacknowledgedEnds.filter((end) => end.number > seen)
	}

	private pollResult(): PollResult {
		const running: ListedRun[] = [...this.runs.values()].map((run) => ({
			task: run.task,
			attempt: run.attempt,
			checkpoint: run.checkpoint,
			percent: this.percentOf(run),
			measure: 100,
		}))
		const { born } = this.worker
		return {
			kind: 'done',
			clock: this.ownClock,
			born,
			running,
			ended: [...this.unacknowledgedEnds],
		}
	}

	/** @returns the progress of a run in percent; 0 while its gang is incomplete. */
	private percentOf({ step, workMs, endsAt, endReason }: FleetRun): number {
		if (step.lasting) return 100
		if (!Number.isFinite(endsAt) || endReason === RunEnd.GangTimeout) return 0
		const left = (endsAt - this.parts.clock.now()) / Math.max(1, workMs)
		return Math.floor(Math.min(1, Math.max(0, 1 - left)) * 100)
	}

	private toDone(): OrderResult {
		return { kind: 'done', clock: this.ownClock }
	}

	private toRefused(reason: Refusal): OrderResult {
		return { kind: 'refused', reason, clock: this.ownClock }
	}
}
