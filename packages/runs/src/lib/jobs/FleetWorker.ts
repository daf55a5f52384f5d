/**
 * One worker machine of a run: it carries out orders as the platform's workers do, under a lease on its own
 * clock, and lists what runs and what has ended until that is noted.
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
import type { Clock, Random } from '@rillrudder/utils'
import type { GangRegistry } from './GangRegistry'
import type { JobInvariants } from './JobInvariants'
import { OfferedCapacity } from './OfferedCapacity'
import { FAILING_IMAGE } from './randomJob'

/** The longest lease that a worker keeps, in milliseconds. */
const MAX_LEASE_MS = 10_000
/** Milliseconds of work between two checkpoints. */
const CHECKPOINT_INTERVAL_MS = 500
/** Milliseconds by which a worker's calendar may be wrong when it starts. */
const START_TIME_ERROR_MS = 5000
/** Milliseconds that a stop takes. */
const STOP_DURATION_MS = 200

/** A run on a worker. @internal */
export interface FleetRun {
	readonly task: string
	readonly attempt: number
	readonly step: Step
	readonly worker: FleetWorker
	checkpoint: string
	checkpointCount: number
	/** Milliseconds that it works in all. */
	readonly workMs: number
	/** When it ends by itself; infinite while a gang is not complete, and for lasting tasks. */
	endsAt: number
	/** Whether it will fail, of itself or by its worker. */
	readonly willFail: boolean
	/** How it ends then. */
	endReason: RunEnd
	nextCheckpointAt: number
}

interface PendingPoll {
	readonly until: number
	readonly answer: () => void
}

/** What a machine needs of its run. @internal */
export interface FleetWorkerParts {
	readonly clock: Clock
	readonly random: Random
	readonly invariants: JobInvariants
	readonly gangs: GangRegistry
	/** @returns the step of a task, by the task's name. */
	readonly stepOf: (task: string) => Step
	/** @returns whether a ticket lets the worker run the task's step now. */
	readonly mayRun: (task: string, worker: string, ticket: string) => boolean
	/** @returns why a start is refused that could be carried out; undefined if it is not. */
	readonly refusal: () => Refusal | undefined
	/** Told of each run that begins. */
	readonly onRunStarted: (machine: FleetWorker, task: string) => void
}

/**
 * One machine, one life of which is a worker.
 *
 * @internal
 */
export class FleetWorker {
	/** What it says of itself; its id changes with each life, also where its name does not. */
	worker: Worker
	isUp = true
	/** Whether nobody hears it, nor it anybody. */
	isCutOff = false
	isDraining = false
	/** Whether all that it starts fails. */
	isFailing = false
	/** Whether what it runs stands still. */
	isStalled = false
	/** How fast it works; 1 is as fast as tasks declare. */
	speed = 1
	private tickedAt = 0
	sequence = 0
	private readonly offered: OfferedCapacity
	private readonly clockRate: number
	private clockOffset: number
	private fence = 0
	private leaseUntil = 0
	/** Whether there is a lease that has not lapsed. */
	private hasLease = false
	private endCount = 0
	private readonly runs = new Map<string, FleetRun>()
	private unacknowledgedEnds: ListedEnd[] = []
	/** For each task the highest attempt that has ended or was stopped here. */
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

	/** How many runs it has. */
	get runCount(): number {
		return this.runs.size
	}

	/** @returns whether a run of a task is on it. */
	isRunning(task: string): boolean {
		return this.runs.has(task)
	}

	/** What its own clock shows, in whole milliseconds. */
	get ownClock(): number {
		return Math.floor(this.clockOffset + this.parts.clock.now() * this.clockRate)
	}

	/** Ends this life with all that it runs. */
	crash(): void {
		this.isUp = false
		const { invariants, gangs } = this.parts
		invariants.onWorkerDied(this.worker.id)
		for (const run of this.runs.values()) gangs.onRunEnded(run)
		this.runs.clear()
		this.pendingPolls = []
	}

	/** What it offers changes, as its next heartbeat tells. */
	resize(share: number): void {
		this.offered.resize(share)
		this.worker = { ...this.worker, capacity: this.offered.current }
	}

	/** What it calls itself. */
	get name(): string {
		return workerNameOf(this.worker.id)
	}

	/** Begins a new life under another name. */
	startAs(name: string): void {
		this.startIncarnation({
			name,
			born: this.worker.born === undefined ? undefined : this.reportedStartTime(),
		})
	}

	/** Begins a new life under the name that it had, with a clock of its own. */
	restart(): void {
		this.clockOffset = this.parts.random.integer(0, 1_000_000)
		this.startIncarnation({ name: this.name, born: this.reportedStartTime() })
	}

	/** Calendars are set: a later life may seem to have started before an earlier one. */
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
		if (attempt <= (this.closedAttempts.get(task) ?? 0)) return this.toRefused(Refusal.Old)
		if (this.runs.get(task)?.attempt === attempt) return this.toDone()
		if (past) return this.toRefused(Refusal.Late)
		if (!this.parts.mayRun(task, this.worker.id, ticket)) return this.toRefused(Refusal.Ticket)
		const refusal = this.parts.refusal()
		if (refusal) return this.toRefused(refusal)
		const { invariants, clock } = this.parts
		const { checkpoint } = order
		const seen = { worker: this.worker.id, task, attempt, checkpoint, isLate: late }
		// An order that is carried out late was right when it was sent.
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

	/** Answers a poll, at once or when there is an end to list. */
	poll(order: PollOrder, answer: (result: PollResult) => void): void {
		if (order.fence < this.fence) {
			answer(this.toRefused(Refusal.Fence) as PollResult)
			return
		}
		this.fence = order.fence
		this.acknowledgeEnds(order.endsSeen)
		if (order.leaseUntil !== undefined) this.extendLease(order.leaseUntil)
		const tell = (): void => answer(this.pollResult())
		if (order.wait === 0 || this.unacknowledgedEnds.length > 0) tell()
		else this.pendingPolls.push({ until: this.parts.clock.now() + order.wait, answer: tell })
	}

	/** Lets time pass. */
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

	/** Ends a run and lists that. */
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

	/** What stands still ends and saves later; stops are not held up. */
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
		for (const run of [...this.runs.values()]) this.endRun(run, RunEnd.Lapsed)
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

	/** How far a run has got; nothing while a gang is not complete. */
	private percentOf({ step, workMs, endsAt, endReason }: FleetRun): number {
		if (step.lasting) return 100
		if (!Number.isFinite(endsAt) || endReason === RunEnd.Alone) return 0
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
