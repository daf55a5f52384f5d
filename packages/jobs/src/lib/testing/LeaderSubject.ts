/**
 * Test harness: a controller with a log that commits at once, and fake workers that tests
 * configure.
 */
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

/** A fake worker: its configurable behaviour, its runs, and the orders that it received. */
export class FakeWorker {
	readonly starts: StartOrder[] = []
	readonly stops: StopOrder[] = []
	readonly paces: PaceOrder[] = []
	readonly polls: PollOrder[] = []
	running: ListedRun[] = []
	ended: ListedEnd[] = []
	/** Makes the worker unresponsive: orders get no answer and are not carried out. */
	isUnresponsive = false
	/** Set when another incarnation runs at its address. */
	replaced = false
	/** Number of following polls that get no answer. */
	lostPolls = 0
	/** Milliseconds that it takes to stop a run. */
	stopDelay = 0
	/** Percent by which its runs progress from one poll to the next; 0 for stalled runs. */
	progressPerPoll = 3
	/** Results of the following starts, one each, which are not carried out. */
	startResults: OrderResult[] = []
	/** Number of following polls with the result `not-carried`. */
	notCarried = 0
	/** Result of all following starts, which are not carried out; undefined to carry them out. */
	startResult: OrderResult | undefined
	/** When it started, in milliseconds since the epoch; undefined where workers do not report it. */
	born: number | undefined
	/**
	 * Its address, if polls of other addresses must get no answer; undefined to accept any address.
	 */
	address: string | undefined
	/**
	 * Milliseconds by which answers to polls are delayed in transit; they arrive even if it has
	 * crashed meanwhile.
	 */
	answerDelay = 0
	/** Milliseconds by which its clock is ahead of those of other workers. */
	clockOffset = 0
	/** Speed of its clock; the slowest one that the platform allows runs at 0.98. */
	clockRate = 1
	/** Sequence number of its latest heartbeat. */
	sequence = 0
	/** Makes it ignore acknowledgements of more ends than it has had, and keep its ends. */
	keepsUnacknowledgedEnds = false
	private endCount = 0

	/** Restarts as a new incarnation without any state. */
	restart(born: number): void {
		this.born = born
		this.running = []
		this.ended = []
		this.endCount = 0
		this.sequence = 0
		this.clockOffset = -20_000
	}

	/** Forgets the ends up to an acknowledged number. */
	forget(seen: number): void {
		if (this.keepsUnacknowledgedEnds && seen > this.endCount) return
		this.ended = this.ended.filter((end) => end.number > seen)
	}

	/** Advances the progress of its runs. */
	work(): void {
		const { progressPerPoll } = this
		this.running = this.running.map((run) => ({
			...run,
			percent: Math.min(99, run.percent + progressPerPoll),
		}))
	}

	/** Ends one of its runs. */
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
		if (fake.isUnresponsive) return this.lose(done)
		const next = fake.startResults.shift()
		// An answer never arrives before all orders of the same batch are sent.
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
		if (fake.isUnresponsive) return this.lose(done)
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
		if (fake.isUnresponsive || !isThere) return this.lose(done)
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
			// A worker that has crashed since the poll does not answer it.
			if (fake.isUnresponsive) return this.lose(done)
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
		const delay = this.subject.adviceDelay(question)
		this.subject.clock.after(delay, () => done({ kind: 'answered', tickets }))
	}
}

class InstantProposals extends Proposals {
	/** All committed commands. */
	readonly committed: CellCommand[] = []
	private readonly queue: { command: CellCommand; done?: () => void }[] = []
	private applying = false
	/** Defers commits while true. */
	held = false

	constructor(private readonly subject: LeaderSubject) {
		super()
	}

	override propose(command: CellCommand, done?: () => void): void {
		this.queue.push({ command, done })
		this.commit()
	}

	/** Commits and applies the queued commands. */
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

/** A controller under test with its fake environment. */
export class LeaderSubject {
	readonly clock = new ManualClock()
	readonly state = new CellState()
	readonly proposals = new InstantProposals(this)
	readonly questions: { readonly via: string; readonly question: AdviceQuestion }[] = []
	isAllowed: (worker: string) => boolean = () => true
	/** Milliseconds until advice is answered; infinite for an answer that never arrives. */
	adviceDelay: (question: AdviceQuestion) => number = () => 30
	/** Ids of the instances that can request advice. */
	instances: readonly string[] = ['self', 'other', 'third']
	deposed = false
	/** Log lines of all leaderships. */
	readonly logLines: string[] = []
	readonly meter = new Meter()
	/** The ledger of the current leadership with the free capacity of the workers. */
	ledger!: Ledger
	/** Client accounts of the following configurations; undefined for a cell without accounts. */
	accounts: readonly ClientAccount[] | undefined
	controller!: JobController
	private readonly workers = new Map<string, FakeWorker>()
	private term = 0

	/** @param queue - overrides of the only queue. */
	constructor(queue: Partial<Queue> = {}) {
		this.lead()
		this.configure(queue)
	}

	/** Replaces the configuration by one with a queue for each set of overrides. */
	configure(...changes: Partial<Queue>[]): void {
		const version = (this.state.configuration?.version ?? 0) + 1
		const queues = changes.map((queue) => ({ ...QUEUE, ...queue }))
		const services = [{ name: QUEUE.service, enforcesCapacity: false }]
		const { accounts } = this
		const configuration = { version, queues, services, accounts, document: '{}' }
		this.call({ kind: 'configure', configuration })
	}

	/** @returns the time on a worker's own clock, in milliseconds. */
	clockOf({ clockOffset, clockRate }: FakeWorker): number {
		return Math.floor(this.clock.now() * clockRate + CLOCK_OFFSET_MS) + clockOffset
	}

	/** Crashes a worker, restarts it at once under its id, and delivers its first heartbeat. */
	restart(id: string): void {
		this.worker(id).restart(this.clock.date().getTime())
		this.heartbeat(id)
	}

	/** The event loop's delay that the controller sees, in milliseconds. */
	loopDelay = 0

	/** Policy of the following leaderships. */
	policy: LeaderPolicy = DEFAULT_LEADER_POLICY

	/** Starts a new leadership, which replaces the current one if there is one. */
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
			loopDelay: () => this.loopDelay,
			onDeposed: () => (this.deposed = true),
		})
		this.state.observer = (change) => this.controller.onChange(change)
	}

	/** Makes a call. @returns the reply, if it arrived at once. */
	call(call: CellCall): CellReply | undefined {
		let reply: CellReply | undefined
		this.controller.call(call, (value) => (reply = value))
		this.controller.place()
		return reply
	}

	/** Submits a job, with the given key if there is one. */
	submit(id: string, job: JobRequest, queue = QUEUE.name, key?: string): CellReply | undefined {
		const keyDigest = key === undefined ? undefined : digestOf(key)
		return this.call({ kind: 'submit', to: { queue, id, keyDigest }, job })
	}

	/** Reports a routine heartbeat that reached another instance `age` milliseconds ago. */
	relayHeartbeat(id: string, age: number): void {
		const { worker, sequence, clock } = this.nextHeartbeat(id)
		this.clock.advance(age)
		this.call({ kind: 'heartbeats', heard: [{ worker: worker.id, sequence, clock, age }] })
	}

	/** Delivers a heartbeat of a worker. */
	heartbeat(id: string, changes: Partial<Worker> = {}, draining = false, remaining?: number): void {
		const heartbeat = this.nextHeartbeat(id, changes, draining, remaining)
		this.call({ kind: 'heartbeat', heartbeat })
	}

	/** @returns a worker's next heartbeat, which is not delivered yet. */
	nextHeartbeat(
		id: string,
		changes: Partial<Worker> = {},
		draining = false,
		remaining?: number
	): Heartbeat {
		const known = this.state.workers.findByName(id)?.worker
		const fake = this.worker(id)
		const { born } = fake
		const incarnation = { id: formatIncarnation({ name: id, born }), born }
		const worker = { ...(known ?? workerNamed(id)), ...incarnation, ...changes }
		const sequence = ++fake.sequence
		return { worker, sequence, draining, remaining, clock: this.clockOf(fake) }
	}

	/** @returns the worker with an id, whatever its incarnation. */
	worker(id: string): FakeWorker {
		const name = workerNameOf(id)
		let worker = this.workers.get(name)
		if (!worker) {
			worker = new FakeWorker()
			this.workers.set(name, worker)
		}
		return worker
	}

	/**
	 * Advances the clock by a number of milliseconds, with a heartbeat of each given worker every
	 * second.
	 */
	run(span: number, ...alive: string[]): void {
		for (let spent = 0; spent < span; spent += TICK_MS) {
			if (spent % 1000 === 0) for (const id of alive) this.heartbeat(id)
			this.clock.advance(TICK_MS)
			this.controller.tick()
		}
	}

	/** Number of start orders that the workers received. */
	get startCount(): number {
		return [...this.workers.values()].reduce((sum, { starts }) => sum + starts.length, 0)
	}
}
