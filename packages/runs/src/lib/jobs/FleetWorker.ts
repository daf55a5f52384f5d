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
import { OfferedRoom } from './OfferedRoom'
import { HOPELESS } from './randomJob'

/** The longest lease that a worker keeps, in milliseconds. */
const LONGEST_LEASE = 10_000
/** Milliseconds of work between two checkpoints. */
const SAVE_EVERY = 500
/** Milliseconds by which a worker's calendar may be wrong when it starts. */
const CALENDAR_ERROR = 5000
/** Milliseconds that a stop takes. */
const STOP_TAKES = 200

/** A run on a worker. @internal */
export interface FleetRun {
	readonly task: string
	readonly attempt: number
	readonly step: Step
	readonly worker: FleetWorker
	checkpoint: string
	saves: number
	/** Milliseconds that it works in all. */
	readonly works: number
	/** When it ends by itself; infinite while a gang is not complete, and for lasting tasks. */
	endsAt: number
	/** Whether it will fail, of itself or by its worker. */
	readonly fails: boolean
	/** How it ends then. */
	endsAs: RunEnd
	savesAt: number
}

interface Waiter {
	readonly until: number
	readonly answer: () => void
}

/** What a machine needs of its run. @internal */
export interface FleetWorkerParts {
	readonly clock: Clock
	readonly random: Random
	readonly witness: JobInvariants
	readonly gangs: GangRegistry
	/** @returns the step of a task, by the task's name. */
	readonly stepOf: (task: string) => Step
	/** @returns whether a ticket lets the worker run the task's step now. */
	readonly mayRun: (task: string, worker: string, ticket: string) => boolean
	/** @returns why a start is refused that could be carried out; undefined if it is not. */
	readonly refusal: () => Refusal | undefined
	/** Told of each run that begins. */
	readonly began: (machine: FleetWorker, task: string) => void
}

/**
 * One machine, one life of which is a worker.
 *
 * @internal
 */
export class FleetWorker {
	/** What it says of itself; its id changes with each life, also where its name does not. */
	worker: Worker
	up = true
	/** Whether nobody hears it, nor it anybody. */
	cut = false
	draining = false
	/** Whether all that it starts fails. */
	failing = false
	/** Whether what it runs stands still. */
	stalled = false
	/** How fast it works; 1 is as fast as tasks declare. */
	speed = 1
	private tickedAt = 0
	sequence = 0
	private readonly room: OfferedRoom
	private readonly rate: number
	private offset: number
	private fence = 0
	private leaseUntil = 0
	/** Whether there is a lease that has not lapsed. */
	private leased = false
	private endCount = 0
	private readonly runs = new Map<string, FleetRun>()
	private ended: ListedEnd[] = []
	/** For each task the highest attempt that has ended or was stopped here. */
	private readonly closed = new Map<string, number>()
	private waiters: Waiter[] = []
	constructor(
		private readonly parts: FleetWorkerParts,
		worker: Worker
	) {
		this.worker = worker
		this.room = new OfferedRoom(parts.clock, worker.capacity)
		this.rate = 0.98 + parts.random.fraction() * 0.02
		this.offset = parts.random.integer(0, 1_000_000)
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
		return Math.floor(this.offset + this.parts.clock.now() * this.rate)
	}

	/** Ends this life with all that it runs. */
	crash(): void {
		this.up = false
		const { witness, gangs } = this.parts
		witness.died(this.worker.id)
		for (const run of this.runs.values()) gangs.left(run)
		this.runs.clear()
		this.waiters = []
	}

	/** What it offers changes, as its next heartbeat tells. */
	resize(share: number): void {
		this.room.resize(share)
		this.worker = { ...this.worker, capacity: this.room.current }
	}

	/** What it calls itself. */
	get name(): string {
		return workerNameOf(this.worker.id)
	}

	/** Begins a new life under another name. */
	rise(name: string): void {
		this.begin({ name, born: this.worker.born === undefined ? undefined : this.bornNow() })
	}

	/** Begins a new life under the name that it had, with a clock of its own. */
	riseAgain(): void {
		this.offset = this.parts.random.integer(0, 1_000_000)
		this.begin({ name: this.name, born: this.bornNow() })
	}

	/** Calendars are set: a later life may seem to have started before an earlier one. */
	private bornNow(): number {
		const { clock, random } = this.parts
		return clock.date().getTime() + random.integer(-CALENDAR_ERROR, CALENDAR_ERROR)
	}

	private begin({ name, born }: Incarnation): void {
		this.room.restore()
		const id = formatIncarnation({ name, born })
		this.worker = { ...this.worker, id, born, capacity: this.room.current }
		this.up = true
		this.draining = false
		this.failing = false
		this.stalled = false
		this.fence = 0
		this.leaseUntil = 0
		this.leased = false
		this.endCount = 0
		this.sequence = 0
		this.ended = []
		this.closed.clear()
	}

	/** Carries out an order to start. */
	start(order: StartOrder, late: boolean): OrderResult {
		if (order.fence < this.fence) return this.refuse(Refusal.Fence)
		this.fence = order.fence
		const { task, attempt, spec, ticket } = order
		const past = order.leaseUntil <= this.ownClock
		if (!past) this.extend(order.leaseUntil)
		if (attempt <= (this.closed.get(task) ?? 0)) return this.refuse(Refusal.Superseded)
		if (this.runs.get(task)?.attempt === attempt) return this.done()
		if (past) return this.refuse(Refusal.LeaseExpired)
		if (!this.parts.mayRun(task, this.worker.id, ticket)) return this.refuse(Refusal.Ticket)
		const refusal = this.parts.refusal()
		if (refusal) return this.refuse(refusal)
		const { witness, clock } = this.parts
		const { checkpoint } = order
		const seen = { worker: this.worker.id, task, attempt, checkpoint, late }
		// An order that is carried out late was right when it was sent.
		const capacity = late ? this.room.whole : this.room.counted
		witness.began({ ...this.worker, capacity }, seen, spec, clock.now())
		this.startRun(task, attempt, checkpoint)
		this.parts.began(this, task)
		return this.done()
	}

	/** Carries out an order to stop. */
	stop({ task, attempt, fence }: StopOrder): OrderResult {
		if (fence < this.fence) return this.refuse(Refusal.Fence)
		this.fence = fence
		const run = this.runs.get(task)
		this.closed.set(task, Math.max(attempt, this.closed.get(task) ?? 0))
		if (run && run.attempt <= attempt) {
			this.save(run)
			run.endsAt = Math.min(run.endsAt, this.parts.clock.now() + STOP_TAKES)
			run.endsAs = RunEnd.Stopped
		}
		return this.done()
	}

	/** Answers a poll, at once or when there is an end to list. */
	poll(order: PollOrder, answer: (result: PollResult) => void): void {
		if (order.fence < this.fence) {
			answer(this.refuse(Refusal.Fence) as PollResult)
			return
		}
		this.fence = order.fence
		this.note(order.endsSeen)
		if (order.leaseUntil !== undefined) this.extend(order.leaseUntil)
		const tell = (): void => answer(this.list())
		if (order.wait === 0 || this.ended.length > 0) tell()
		else this.waiters.push({ until: this.parts.clock.now() + order.wait, answer: tell })
	}

	/** Lets time pass. */
	tick(): void {
		if (!this.up) return
		const now = this.parts.clock.now()
		if (this.stalled) this.putOff(now - this.tickedAt)
		this.tickedAt = now
		if (this.leased && this.ownClock >= this.leaseUntil) this.lapse()
		for (const run of [...this.runs.values()]) {
			if (run.savesAt <= now) this.save(run)
			if (run.endsAt <= now) this.finish(run, run.endsAs)
		}
		const due = this.waiters.filter(({ until }) => until <= now || this.ended.length > 0)
		this.waiters = this.waiters.filter((waiter) => !due.includes(waiter))
		for (const { answer } of due) answer()
	}

	/** Ends a run and lists that. */
	finish(run: FleetRun, how: RunEnd): void {
		const { task, attempt, checkpoint } = run
		if (!this.runs.delete(task)) return
		this.closed.set(task, Math.max(attempt, this.closed.get(task) ?? 0))
		this.ended.push({ number: ++this.endCount, task, attempt, how, checkpoint })
		this.parts.witness.ended(this.worker.id, task, attempt, how)
		this.parts.gangs.left(run)
	}

	private startRun(task: string, attempt: number, checkpoint: string): void {
		const { clock, random, stepOf, gangs } = this.parts
		const step = stepOf(task)
		const works = (step.expectedTime * (0.5 + random.fraction())) / this.speed
		const fails = this.failing || step.image === HOPELESS || random.chance(0.02)
		const run: FleetRun = {
			task,
			attempt,
			step,
			worker: this,
			checkpoint,
			saves: 0,
			fails,
			works,
			endsAt: step.lasting && !fails ? Number.POSITIVE_INFINITY : clock.now() + works,
			endsAs: fails ? RunEnd.Failed : RunEnd.Done,
			savesAt: step.checkpoints ? clock.now() + SAVE_EVERY : Number.POSITIVE_INFINITY,
		}
		this.runs.set(task, run)
		gangs.joined(run)
	}

	private save(run: FleetRun): void {
		if (!run.step.checkpoints) return
		run.checkpoint = `${run.task}#${run.attempt}#${++run.saves}`
		run.savesAt = this.parts.clock.now() + SAVE_EVERY
		this.parts.witness.saved(run.task, run.checkpoint)
	}

	/** What stands still ends and saves later; stops are not held up. */
	private putOff(span: number): void {
		for (const run of this.runs.values()) {
			run.savesAt += span
			if (run.endsAs === RunEnd.Done || run.endsAs === RunEnd.Failed) run.endsAt += span
		}
	}

	private lapse(): void {
		this.leased = false
		const tasks = this.ended.map((end) => end.task)
		this.parts.witness.lapsed(this.worker.id, tasks)
		for (const run of [...this.runs.values()]) this.finish(run, RunEnd.LeaseExpired)
	}

	private extend(until: number): void {
		this.leased = true
		this.leaseUntil = Math.max(this.leaseUntil, Math.min(until, this.ownClock + LONGEST_LEASE))
	}

	private note(seen: number): void {
		const { witness, clock } = this.parts
		for (const { number, task, attempt } of this.ended) {
			if (number <= seen) witness.noted(this.worker.id, task, attempt, clock.now())
		}
		this.ended = this.ended.filter((end) => end.number > seen)
	}

	private list(): PollResult {
		const running: ListedRun[] = [...this.runs.values()].map((run) => ({
			task: run.task,
			attempt: run.attempt,
			checkpoint: run.checkpoint,
			percent: this.percentOf(run),
			measure: 100,
		}))
		const { born } = this.worker
		return { kind: 'done', clock: this.ownClock, born, running, ended: [...this.ended] }
	}

	/** How far a run has got; nothing while a gang is not complete. */
	private percentOf({ step, works, endsAt, endsAs }: FleetRun): number {
		if (step.lasting) return 100
		if (!Number.isFinite(endsAt) || endsAs === RunEnd.GangTimeout) return 0
		const left = (endsAt - this.parts.clock.now()) / Math.max(1, works)
		return Math.floor(Math.min(1, Math.max(0, 1 - left)) * 100)
	}

	private done(): OrderResult {
		return { kind: 'done', clock: this.ownClock }
	}

	private refuse(reason: Refusal): OrderResult {
		return { kind: 'refused', reason, clock: this.ownClock }
	}
}
