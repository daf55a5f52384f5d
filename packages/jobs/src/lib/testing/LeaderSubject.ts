/** A controller with a log that commits at once, and workers that answer as the test says. */
import { Ledger, WorkerHealth } from '@rillrudder/scheduler'
import { Log, Meter } from '@rillrudder/telemetry'
import { ManualClock, Random } from '@rillrudder/utils'
import { digestOf, type ClientAccount } from '../accounts/ClientAccount'
import { encodeCommands, type CellCommand } from '../commands/CellCommand'
import type { CellCall, CellReply } from '../leader/callers/calls'
import { DEFAULT_LEADER_POLICY, type LeaderPolicy } from '../leader/LeaderPolicy'
import { DEFAULT_LEADER_TIMING } from '../leader/LeaderTiming'
import { JobController } from '../leader/JobController'
import {
	Advisers,
	Proposals,
	WorkerOrders,
	type AdviceQuestion,
	type AdviceResult,
	type ListedEnd,
	type ListedRun,
	type PollOrder,
	type PollResult,
	type OrderResult,
	type OrderTarget,
	type PaceOrder,
	type StartOrder,
	type StopOrder,
} from '../leader/ports'
import type { Heartbeat, Queue, Worker } from '../records/Cell'
import { formatIncarnation, workerNameOf } from '../records/Incarnation'
import type { JobRequest } from '../records/Job'
import { CellState } from '../state/CellState'
import { QUEUE, workerNamed } from './samples'

const TICK_MS = 20
const CLOCK_OFFSET_MS = 50_000
const ORDER_TIMEOUT_MS = 400

/** What one worker of a test does and has seen. */
export class FakeWorker {
	readonly starts: StartOrder[] = []
	readonly stops: StopOrder[] = []
	readonly paces: PaceOrder[] = []
	readonly polls: PollOrder[] = []
	running: ListedRun[] = []
	ended: ListedEnd[] = []
	/** Set to make it silent: orders get no answer and are not carried out. */
	silent = false
	/** Set once another incarnation is at its address. */
	replaced = false
	/** How many of the next polls get no answer. */
	lostPolls = 0
	/** Milliseconds that a stop takes. */
	stopDelay = 0
	/** Percent by which what it runs gets on from one poll to the next; 0 to let it stand still. */
	progressPerPoll = 3
	/** What the next starts are answered with in turn, in place of being carried out. */
	startResults: OrderResult[] = []
	/** How many of the next polls are not carried. */
	notCarried = 0
	/** What the next starts are answered with, in place of being carried out. */
	startResult: OrderResult | undefined
	/** When it started, milliseconds since the epoch; undefined where workers do not say. */
	born: number | undefined
	/** Where it is, if orders to elsewhere are to reach nobody. */
	address: string | undefined
	/** Milliseconds by which answers to polls are held up on their way; they come although it has crashed meanwhile. */
	answerDelay = 0
	/** What its clock shows beyond that of the others. */
	clockOffset = 0
	/** Number of its latest heartbeat. */
	sequence = 0
	/** Set to make it keep ends that it is told were seen before it has had so many. */
	keepsUnacknowledgedEnds = false
	private endCount = 0

	/** It starts anew, and knows nothing of before. */
	restart(born: number): void {
		this.born = born
		this.running = []
		this.ended = []
		this.endCount = 0
		this.sequence = 0
		this.clockOffset = -20_000
	}

	/** It is told that ends up to a number were seen. */
	forget(seen: number): void {
		if (this.keepsUnacknowledgedEnds && seen > this.endCount) return
		this.ended = this.ended.filter((end) => end.number > seen)
	}

	/** What it runs gets on a little. */
	work(): void {
		const { progressPerPoll: pace } = this
		this.running = this.running.map((run) => ({
			...run,
			percent: Math.min(99, run.percent + pace),
		}))
	}

	/** A run of it ends. */
	end(task: string, how: ListedEnd['how'], checkpoint = ''): void {
		const run = this.running.find((one) => one.task === task)
		this.running = this.running.filter((one) => one.task !== task)
		const attempt = run?.attempt ?? 1
		this.ended.push({ number: ++this.endCount, task, attempt, how, checkpoint })
	}
}

class FakeOrders extends WorkerOrders {
	constructor(private readonly subject: LeaderSubject) {
		super()
	}

	override start(
		worker: OrderTarget,
		order: StartOrder,
		done: (result: OrderResult) => void
	): void {
		const fake = this.subject.worker(worker.id)
		fake.starts.push(order)
		if (fake.silent) return this.lose(done)
		const next = fake.startResults.shift()
		// An answer never comes before the orders that are given together have all gone out.
		if (next) return void this.subject.clock.after(1, () => done(next))
		if (fake.startResult) return done(fake.startResult)
		const { task, attempt, checkpoint } = order
		if (!fake.running.some((one) => one.task === task)) {
			fake.running.push({ task, attempt, checkpoint, percent: 0, measure: 0 })
		}
		done({ kind: 'done', clock: this.subject.clockOf(fake) })
	}

	override stop(worker: OrderTarget, order: StopOrder, done: (result: OrderResult) => void): void {
		const fake = this.subject.worker(worker.id)
		fake.stops.push(order)
		if (fake.silent) return this.lose(done)
		if (fake.running.some((one) => one.task === order.task)) this.end(fake, order.task)
		done({ kind: 'done', clock: this.subject.clockOf(fake) })
	}

	override pace(worker: OrderTarget, order: PaceOrder, done: (result: OrderResult) => void): void {
		const fake = this.subject.worker(worker.id)
		fake.paces.push(order)
		done({ kind: 'done', clock: this.subject.clockOf(fake) })
	}

	override poll(worker: OrderTarget, order: PollOrder, done: (result: PollResult) => void): void {
		const fake = this.subject.worker(worker.id)
		fake.polls.push(order)
		const isThere = fake.address === undefined || fake.address === worker.address
		if (fake.silent || !isThere) return this.lose(done)
		if (fake.replaced) return done({ kind: 'other-incarnation' })
		if (fake.notCarried > 0) {
			fake.notCarried -= 1
			return done({ kind: 'not-carried' })
		}
		if (order.wait > 0 && fake.lostPolls > 0) {
			fake.lostPolls -= 1
			this.subject.clock.after(order.wait, () => this.lose(done))
			return
		}
		fake.forget(order.endsSeen)
		const answer = (): void => {
			// A worker that has crashed meanwhile answers nothing that it was asked before.
			if (fake.silent) return this.lose(done)
			fake.work()
			const { running, ended, born } = fake
			const clock = this.subject.clockOf(fake)
			const result = { kind: 'done', clock, born, running, ended: [...ended] } as const
			if (fake.answerDelay === 0) done(result)
			else this.subject.clock.after(fake.answerDelay, () => done(result))
		}
		this.subject.clock.after(order.wait > 0 && fake.ended.length === 0 ? order.wait : 1, answer)
	}

	private end(fake: FakeWorker, task: string): void {
		if (fake.stopDelay === 0) fake.end(task, 'stopped')
		else this.subject.clock.after(fake.stopDelay, () => fake.end(task, 'stopped'))
	}

	private lose(done: (result: { kind: 'unknown'; message: string }) => void): void {
		this.subject.clock.after(ORDER_TIMEOUT_MS, () =>
			done({ kind: 'unknown', message: 'no answer' })
		)
	}
}

class FakeAdvisers extends Advisers {
	constructor(private readonly subject: LeaderSubject) {
		super()
	}

	override available(): readonly string[] {
		return this.subject.instances
	}

	override ask(via: string, question: AdviceQuestion, done: (result: AdviceResult) => void): void {
		this.subject.questions.push({ via, question })
		const good = question.workers.filter((id) => this.subject.isAllowed(id))
		const tickets = new Map(good.map((id) => [id, `ticket-${id}`]))
		const takes = this.subject.adviceDelay(question)
		this.subject.clock.after(takes, () => done({ kind: 'answered', tickets }))
	}
}

class InstantProposals extends Proposals {
	/** Everything that was committed. */
	readonly committed: CellCommand[] = []
	private readonly queue: { command: CellCommand; done?: () => void }[] = []
	private applying = false
	/** While true nothing is committed. */
	held = false

	constructor(private readonly subject: LeaderSubject) {
		super()
	}

	override propose(command: CellCommand, done?: () => void): void {
		this.queue.push({ command, done })
		this.commit()
	}

	/** Commits what waits. */
	commit(): void {
		if (this.applying || this.held) return
		this.applying = true
		for (let next = this.queue.shift(); next; next = this.queue.shift()) {
			this.committed.push(next.command)
			this.subject.state.apply(encodeCommands([next.command]))
			next.done?.()
		}
		this.applying = false
	}
}

/** A controller under test. */
export class LeaderSubject {
	readonly clock = new ManualClock()
	readonly state = new CellState()
	readonly proposals = new InstantProposals(this)
	readonly questions: { readonly via: string; readonly question: AdviceQuestion }[] = []
	isAllowed: (worker: string) => boolean = () => true
	/** Milliseconds that an answer takes; infinite for one that does not come. */
	adviceDelay: (question: AdviceQuestion) => number = () => 30
	/** Instances that can ask. */
	instances: readonly string[] = ['self', 'other', 'third']
	deposed = false
	/** Log lines of all leaderships. */
	readonly logLines: string[] = []
	readonly meter = new Meter()
	/** The room of the workers, as the present leadership counts it. */
	ledger!: Ledger
	/** Client accounts of the configurations that follow; undefined for a cell without. */
	accounts: readonly ClientAccount[] | undefined
	controller!: JobController
	private readonly workers = new Map<string, FakeWorker>()
	private term = 0

	/** @param queue - changes of the one queue. */
	constructor(queue: Partial<Queue> = {}) {
		this.lead()
		this.configure(queue)
	}

	/** Replaces the configuration by one of a queue for each set of changes. */
	configure(...changes: Partial<Queue>[]): void {
		const version = (this.state.configuration?.version ?? 0) + 1
		const queues = changes.map((queue) => ({ ...QUEUE, ...queue }))
		const services = [{ name: QUEUE.service, enforcesCapacity: false }]
		const { accounts } = this
		const configuration = { version, queues, services, accounts, document: '{}' }
		this.call({ kind: 'configure', configuration })
	}

	/** What all workers' clocks show. */
	get workerClock(): number {
		return Math.floor(this.clock.now() + CLOCK_OFFSET_MS)
	}

	/** What a worker's own clock shows. */
	clockOf({ clockOffset: clockAhead }: FakeWorker): number {
		return this.workerClock + clockAhead
	}

	/** A worker ends without a word and starts again under its id, at once; its first heartbeat comes. */
	restart(id: string): void {
		this.worker(id).restart(this.clock.date().getTime())
		this.heartbeat(id)
	}

	/** What the next leadership is asked for; settings give it, as a leadership begins. */
	policy: LeaderPolicy = DEFAULT_LEADER_POLICY

	/** Begins a leadership, after another one where there was one. */
	lead(): void {
		this.state.observer = undefined
		const random = new Random(7)
		this.ledger = new Ledger(random)
		this.controller = new JobController({
			state: this.state,
			ledger: this.ledger,
			health: new WorkerHealth(),
			clock: this.clock,
			random,
			timing: DEFAULT_LEADER_TIMING,
			policy: this.policy,
			term: ++this.term,
			orders: new FakeOrders(this),
			advisers: new FakeAdvisers(this),
			proposals: this.proposals,
			log: new Log('test', this.clock, 'info', (line) => this.logLines.push(line)),
			meter: this.meter,
			onDeposed: () => (this.deposed = true),
		})
		this.state.observer = (change) => this.controller.onChange(change)
	}

	/** Makes a call. @returns the reply, if it came at once. */
	call(call: CellCall): CellReply | undefined {
		let reply: CellReply | undefined
		this.controller.call(call, (value) => (reply = value))
		this.controller.place()
		return reply
	}

	/** Hands a job in, with a key where one is given. */
	submit(id: string, job: JobRequest, queue = QUEUE.name, key?: string): CellReply | undefined {
		const keyDigest = key === undefined ? undefined : digestOf(key)
		return this.call({ kind: 'submit', to: { queue, id, keyDigest }, job })
	}

	/** A heartbeat of a worker comes. */
	heartbeat(id: string, changes: Partial<Worker> = {}, draining = false, remaining?: number): void {
		const heartbeat = this.nextHeartbeat(id, changes, draining, remaining)
		this.call({ kind: 'heartbeat', heartbeat })
	}

	/** @returns a worker's next heartbeat, which is on its way. */
	nextHeartbeat(
		id: string,
		changes: Partial<Worker> = {},
		draining = false,
		remaining?: number
	): Heartbeat {
		const known = this.state.workers.named(id)?.worker
		const fake = this.worker(id)
		const { born } = fake
		const life = { id: formatIncarnation({ name: id, born }), born }
		const worker = { ...(known ?? workerNamed(id)), ...life, ...changes }
		const sequence = ++fake.sequence
		return { worker, sequence, draining, remaining, clock: this.clockOf(fake) }
	}

	/** @returns the worker behind an id, whichever life of it. */
	worker(id: string): FakeWorker {
		const name = workerNameOf(id)
		let worker = this.workers.get(name)
		if (!worker) {
			worker = new FakeWorker()
			this.workers.set(name, worker)
		}
		return worker
	}

	/** Lets time pass, with heartbeats of these workers once a second. */
	run(span: number, ...alive: string[]): void {
		for (let spent = 0; spent < span; spent += TICK_MS) {
			if (spent % 1000 === 0) for (const id of alive) this.heartbeat(id)
			this.clock.advance(TICK_MS)
			this.controller.tick()
		}
	}

	/** How many starts were ordered. */
	get startCount(): number {
		return [...this.workers.values()].reduce((sum, { starts }) => sum + starts.length, 0)
	}
}
