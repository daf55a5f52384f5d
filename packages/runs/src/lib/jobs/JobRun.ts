/**
 * A seeded run of a cell's jobs on a clock moved by hand: the real controller and the real state under a series of
 * leaders, with workers and clients that behave as on the platform, and faults of every kind.
 */
import {
	CellState,
	DEFAULT_LEADER_TIMING,
	JobController,
	JobState,
	DEFAULT_LEADER_POLICY,
	type AdviceTerms,
	type CellConfiguration,
	type CellReply,
	type JobRecord,
	type JobRequest,
	type LeaderPolicy,
	type Queue,
} from '@rillrudder/jobs'
import { CarriedOrders } from '@rillrudder/member'
import { Ledger, WorkerHealth } from '@rillrudder/scheduler'
import { Log, Meter } from '@rillrudder/telemetry'
import { invariant, ManualClock, Random } from '@rillrudder/utils'
import { DATA_CENTRES, Fleet } from './Fleet'
import { FleetCarrier, LEADER_LIFE } from './FleetCarrier'
import { FleetOrders } from './FleetOrders'
import type { FleetWorker } from './FleetWorker'
import { COMMON_FAULTS, JobFaults, RESTARTS, type JobFault } from './JobFaults'
import { JobInvariants } from './JobInvariants'
import { LeaderLoop } from './LeaderLoop'
import { randomJob, WIDE, wideGang } from './randomJob'
import { checkOutcome, type Asked } from './checkOutcome'
import { CrashingTasks, type CrashTally } from './CrashingTasks'
import type { CallerAccounts } from './CallerAccounts'
import { CompetingAccounts, rateOf, type Competition } from './CompetingAccounts'
import { RunAccounts } from './RunAccounts'
import { PLENTIFUL_ADVICE, RunAdvisers, type RunAdvice, SCARCE_ADVICE } from './RunAdvisers'
import { RunLog } from './RunLog'

/** Milliseconds of one step of a run. */
const STEP = 10
/** Share of jobs that are wide gangs, in a run with these. */
const WIDE_SHARE = 0.25
/** Milliseconds between two readings of the leader's clockwork. */
const TICK = 20
/** Milliseconds after which a client without an answer asks again. */
const ASK_AGAIN = 400
/** Everything is over so long after the faults have ended, in milliseconds. */
const SETTLE_FOR = 90_000

/** How a run is made. @public */
export interface JobRunOptions {
	readonly seed: number
	/** Faults a second; 0 for a calm run. */
	readonly faultRate: number
	/** Jobs handed in a second. */
	readonly jobRate: number
	/** What may go wrong; everything if absent. */
	readonly faults?: readonly JobFault[]
	/** Whether callers belong to accounts, whose keys and quotas change. */
	readonly accounts?: boolean
	/** How callers' accounts compete, in place of accounts whose keys and quotas change; gives the rate of jobs too. */
	readonly competition?: Competition
	/** Whether workers say when they started; they do where they start again under their names. */
	readonly tellBorn?: boolean
	/** Whether some tasks crash the workers that start them. */
	readonly crashingTasks?: boolean
	/** Share of workers crashed by tasks that start again under their names; none if absent. */
	readonly restartedShare?: number
	/** Share of workers' answers that take long; where it is given, what a worker has sent comes although it has ended. */
	readonly slowAnswers?: number
	/** How fast each worker works, by its number; as fast as tasks declare if absent. */
	readonly speedOf?: (worker: number) => number
	/** Whether jobs are wide gangs whose tickets run out soon after they have come. */
	readonly wideGangs?: boolean
	/** What is asked of its leaders; nothing more than usual if absent. */
	readonly policy?: LeaderPolicy
}

/** What a run has done. @public */
export interface JobRunTally {
	jobs: number
	cancelled: number
	leaders: number
	/** Runs that began on workers. */
	readonly starts: number
	/** Members of gangs that waited in vain for the others. */
	readonly alone: number
	/** How many gangs worked, and how many of them as slowly as a slow worker lets them. */
	readonly gangs: number
	readonly slowGangs: number
	/** Wide gangs that were done while jobs were handed in or after, and how many milliseconds each took on the mean. */
	readonly wide: { readonly done: number; readonly took: number }
	/** Milliseconds of answers that leaders asked for. */
	readonly advice: number
	/** What crashing tasks did; undefined in a run without them. */
	readonly crashes: CrashTally | undefined
	readonly faults: { readonly [fault: string]: number }
}

/** So many workers that a leader has its orders carried. */
const AS_MANY_AS_CARRIED = 1000
const SERVICE = 'controller'
const URGENT = queueOf('urgent', 0, 2)
const BATCH = queueOf('batch', 2, 3)
/** Workers in each data centre of a run with wide gangs: a question about all of them takes long. */
const WORKERS_FOR_WIDE = 20

function termsOf({ base, each, valid }: RunAdvice): AdviceTerms {
	return { base, each, valid }
}

function queueOf(name: string, priority: number, maxAttempts: number): Queue {
	return {
		name,
		host: 'city.example',
		prefix: `/${name}/`,
		priority,
		service: SERVICE,
		maxAttempts,
		latencyTarget: 250,
		stretch: 2,
		timeout: 3000,
	}
}

/**
 * A seeded run of a cell's jobs.
 *
 * @example
 * ```ts
 * const run = new JobRun({ seed: 3, faultRate: 2, jobRate: 4 })
 * run.run(20_000)
 * run.settle()
 * ```
 * @public
 */
export class JobRun {
	readonly clock = new ManualClock()
	readonly random: Random
	/** Chooses jobs; in a run with wide gangs apart from all else, so that it has the same jobs whatever its leaders decide. */
	private readonly jobRandom: Random
	readonly witness: JobInvariants
	private readonly accounts: CallerAccounts | undefined
	private readonly competing: CompetingAccounts | undefined
	private readonly crashing: CrashingTasks | undefined
	private version = 0
	readonly fleet: Fleet
	private readonly faults: JobFaults
	private readonly asked = new Map<string, Asked>()
	/** Instances that carry orders, one in each data centre but the leader's. */
	readonly carriers: readonly FleetCarrier[]
	private readonly direct: FleetOrders
	readonly loop: LeaderLoop
	private orders: CarriedOrders | undefined
	readonly advisers: RunAdvisers
	private readonly queues: readonly Queue[]
	private state = new CellState()
	private controller: JobController | undefined
	private log: RunLog | undefined
	private term = 0
	private nextJobAt = 0
	private tickAt = 0

	/** @param options - seed and rates. */
	constructor(private readonly options: JobRunOptions) {
		this.random = new Random(options.seed)
		const { seed, competition } = options
		this.jobRandom = options.wideGangs ? new Random(seed) : this.random
		this.competing = competition && new CompetingAccounts(seed, competition)
		this.accounts = this.competing ?? (options.accounts ? new RunAccounts(seed) : undefined)
		this.witness = new JobInvariants(this.accounts)
		const { clock, random, witness } = this
		this.loop = new LeaderLoop(clock)
		this.crashing = options.crashingTasks ? this.crashingTasks() : undefined
		const advice = options.wideGangs ? SCARCE_ADVICE : PLENTIFUL_ADVICE
		this.queues = [URGENT, { ...BATCH, advice: termsOf(advice) }]
		this.advisers = new RunAdvisers(clock, random, advice, this.loop)
		this.faults = new JobFaults(this, options.faultRate, options.faults ?? COMMON_FAULTS)
		this.fleet = new Fleet({
			clock,
			random,
			witness,
			service: SERVICE,
			workersEach: options.wideGangs ? WORKERS_FOR_WIDE : undefined,
			tellBorn: options.tellBorn ?? RESTARTS.some((fault) => this.faults.has(fault)),
			speedOf: options.speedOf,
			stepOf: (task) => this.stepOf(task),
			mayRun: (task, worker, ticket) => this.mayRun(task, worker, ticket),
			heldShare: () => this.faults.heldShare,
			refusal: () => this.faults.refusal(),
			began: (machine, task) => this.crashing?.began(machine, task),
			call: (call, reply) => this.loop.arrived(() => this.controller?.call(call, reply)),
		})
		this.direct = this.ordersFrom(() => false, this.loop)
		this.carriers = DATA_CENTRES.slice(1).map((dataCentre) => this.carrierIn(dataCentre))
		this.lead()
		this.configure()
		this.advance(2000)
	}

	/** What was done so far. */
	get tally(): JobRunTally {
		const jobs = [...this.asked.values()]
		return {
			jobs: jobs.length,
			cancelled: jobs.filter((job) => job.cancelled).length,
			leaders: this.term,
			starts: this.witness.starts,
			alone: this.fleet.gangs.alone,
			gangs: this.fleet.gangs.worked,
			slowGangs: this.fleet.gangs.slow,
			wide: this.wideTally,
			advice: this.advisers.took,
			crashes: this.crashing?.tally,
			faults: this.faults.counts,
		}
	}

	/** All jobs that are kept. */
	get jobs(): Iterable<JobRecord> {
		return this.state.jobs.all()
	}

	private get wideTally() {
		const records = [...this.asked.values()]
			.filter(({ request }) => request.spec === WIDE)
			.map(({ id }) => this.state.jobs.find(id))
		const done = records.filter((job) => job?.state === JobState.Completed)
		const total = done.reduce((sum, job) => sum + (job?.ended ?? 0) - (job?.submitted ?? 0), 0)
		return { done: done.length, took: Math.round(total / Math.max(1, done.length)) }
	}

	/** Lets clients hand jobs in and things go wrong for a span, in milliseconds. */
	run(span: number): void {
		const until = this.clock.now() + span
		while (this.clock.now() < until) {
			if (this.clock.now() >= this.nextJobAt) this.handIn()
			this.faults.step()
			if (this.accounts?.change(this.clock.now())) this.configure()
			this.advance(STEP)
		}
	}

	/** Ends all faults, waits, and checks that nothing accepted is lost. */
	settle(): void {
		this.faults.end()
		if (!this.controller) this.lead()
		this.accounts?.lift()
		if (this.accounts) this.configure()
		this.advance(SETTLE_FOR)
		for (const { worker } of this.fleet.machines) {
			const known = this.state.workers.find(worker.id) !== undefined
			invariant(known, 'a worker that reports is known by its present life', { worker: worker.id })
		}
		for (const job of this.asked.values()) {
			const crashes = this.crashing?.isIn(job.id) ?? false
			checkOutcome(job, this.state.jobs.find(job.id), this.witness, crashes)
		}
	}

	/** The leader is lost; another leads after a while, in milliseconds. */
	loseLeader(gap: number): void {
		if (!this.controller) return
		this.state.observer = undefined
		this.log?.end()
		this.orders?.end()
		this.loop.end()
		this.controller = undefined
		this.log = undefined
		this.clock.after(gap, () => this.lead())
	}

	/** Cancels some of the jobs that were accepted. */
	cancelSome(share: number): void {
		for (const job of this.asked.values()) {
			if (!job.accepted || job.cancelAsked || !this.random.chance(share)) continue
			job.cancelAsked = true
			this.cancel(job)
		}
	}

	private lead(): void {
		if (this.controller) return
		const { clock, random, advisers } = this
		const term = ++this.term
		const orders = this.carriedOrders(term)
		this.orders = orders
		const state = new CellState()
		state.restore(this.state.snapshot())
		this.state = state
		const log = new RunLog(clock, random, state, this.loop)
		const silent = (): void => undefined
		const controller: JobController = new JobController({
			state,
			ledger: new Ledger(new Random(this.options.seed)),
			health: new WorkerHealth(),
			clock,
			random,
			timing: DEFAULT_LEADER_TIMING,
			policy: this.options.policy ?? DEFAULT_LEADER_POLICY,
			term,
			orders,
			advisers,
			proposals: log,
			log: new Log('run', clock, 'silent', silent),
			meter: new Meter(),
			onDeposed: () => this.deposed(controller),
		})
		this.log = log
		this.controller = controller
		state.observer = (change) => controller.onChange(change)
	}

	/** An operator sends a configuration until it is confirmed. */
	private configure(): void {
		const services = [{ name: SERVICE, enforcesCapacity: false }]
		const accounts = this.accounts?.send()
		const version = ++this.version
		this.sendConfiguration({ version, queues: this.queues, services, accounts, document: '{}' })
	}

	private sendConfiguration(configuration: CellConfiguration): void {
		let confirmed = false
		this.controller?.call({ kind: 'configure', configuration }, ({ kind }) => {
			confirmed = kind === 'noted'
			if (confirmed && configuration.version === this.version) {
				this.accounts?.confirmed(this.clock.now())
			}
		})
		if (!this.accounts) return
		this.clock.after(ASK_AGAIN, () => {
			if (!confirmed && configuration.version === this.version) {
				this.sendConfiguration(configuration)
			}
		})
	}

	private crashingTasks(): CrashingTasks {
		const crash = (machine: FleetWorker, away: number): void => this.fleet.crash(machine, away)
		const restart = (machine: FleetWorker, away: number): void => this.fleet.restart(machine, away)
		const { seed, restartedShare = 0 } = this.options
		return new CrashingTasks({ seed, clock: this.clock, crash, restart, restartedShare })
	}

	private ordersFrom(cut: () => boolean, loop?: LeaderLoop): FleetOrders {
		const { clock, random } = this
		return new FleetOrders({
			clock,
			random,
			at: (address) => this.fleet.at(address),
			cut,
			lateShare: () => this.faults.lateShare,
			lostShare: () => this.faults.lostShare,
			slowShare: this.options.slowAnswers ?? 0,
			loop,
		})
	}

	private carrierIn(dataCentre: string): FleetCarrier {
		const { clock, random } = this
		const carrier: FleetCarrier = new FleetCarrier({
			id: `core-${dataCentre}`,
			dataCentre,
			clock,
			random,
			orders: this.ordersFrom(() => carrier.cut),
			results: (results) => this.loop.arrived(() => this.orders?.taken(results)),
		})
		return carrier
	}

	private carriedOrders(term: number): CarriedOrders {
		const { clock, direct, carriers } = this
		const named = (id: string): FleetCarrier | undefined => carriers.find((one) => one.id === id)
		return new CarriedOrders({
			direct,
			term,
			life: LEADER_LIFE,
			clock,
			log: new Log('run', clock, 'silent', () => undefined),
			linked: () => carriers.filter((carrier) => carrier.linked),
			heardAt: (id) => named(id)?.heardAt ?? Number.NEGATIVE_INFINITY,
			workers: () => AS_MANY_AS_CARRIED,
			send: (to, batch) => named(to)?.take(batch) ?? false,
		})
	}

	/** A carrying instance loses its link to the leader. */
	unlink(carrier: FleetCarrier): void {
		carrier.linked = false
		this.orders?.lost(carrier.id)
	}

	/** Only a leader that has been followed by another is refused by a worker. */
	private deposed(controller: JobController): void {
		invariant(this.controller !== controller, 'a leader is not refused for its term', {
			term: this.term,
		})
	}

	private advance(span: number): void {
		for (let spent = 0; spent < span; spent += STEP) {
			this.clock.advance(STEP)
			this.fleet.tick()
			for (const carrier of this.carriers) carrier.tick()
			if (!this.loop.isStalled) this.turn()
		}
	}

	/** The leader reads what has come, and acts. */
	private turn(): void {
		this.loop.resume()
		if (this.clock.now() >= this.tickAt) {
			this.tickAt = this.clock.now() + TICK
			this.orders?.tick(this.clock.now())
			this.controller?.tick()
		}
		this.controller?.place()
		this.log?.flush()
		this.orders?.flush()
	}

	private handIn(): void {
		const { clock, options, witness, jobRandom: random } = this
		const rate = options.competition ? rateOf(options.competition) : options.jobRate
		this.nextJobAt = clock.now() + random.exponential(1000 / rate)
		const id = random.integer(0, 0x7fffffff).toString(16).padStart(16, '0')
		if (this.asked.has(id)) return
		const request = this.newRequest(random)
		const queue = this.queueFor(request, random)
		const job = {
			id,
			request,
			accepted: false,
			unanswered: 0,
			refused: false,
			uncertain: false,
			cancelAsked: false,
			cancelled: false,
		}
		this.asked.set(id, job)
		witness.asked(id, request, queue)
		this.crashing?.asked(id, request)
		this.submit(job, queue.name)
	}

	private newRequest(random: Random): JobRequest {
		const { competing, options, clock } = this
		if (competing) return competing.request(random)
		if (options.wideGangs && random.chance(WIDE_SHARE)) return wideGang(random)
		return randomJob(random, clock.date().getTime())
	}

	private queueFor({ spec, steps }: JobRequest, random: Random): Queue {
		const [urgent, batch] = this.queues
		if (spec === WIDE) return batch
		// A policy that bars every worker with the label would make the job one that can never run.
		const plain = steps.every((step) => !step.lasting && step.requires === '')
		// Shares order work of one priority.
		return plain && !this.competing ? random.pick(this.queues) : urgent
	}

	private submit(job: Asked, queue: string): void {
		if (job.accepted || job.refused || job.uncertain) return
		const keyDigest = this.accounts?.owned(job.id, job.request)
		const to = { queue, id: job.id, keyDigest }
		if (this.controller) job.unanswered += 1
		const answered = ({ kind }: CellReply): void => {
			job.unanswered -= 1
			if (kind === 'accepted') job.accepted = true
			if (kind === 'unauthorized' || kind === 'impossible') this.refused(job)
		}
		const call = { kind: 'submit', to, job: job.request } as const
		this.loop.arrived(() => this.controller?.call(call, answered))
		this.clock.after(ASK_AGAIN, () => this.submit(job, queue))
	}

	/** A refusal after a call without an answer says nothing of that call; such a job may run, and is asked for no more. */
	private refused(job: Asked): void {
		if (job.unanswered > 0) job.uncertain = true
		else job.refused = true
	}

	private cancel(job: Asked): void {
		if (job.cancelled) return
		const answered = ({ kind }: CellReply): void => {
			if (kind !== 'noted') return
			job.cancelled = true
			this.witness.cancelled(job.id, this.clock.now())
		}
		const call = { kind: 'cancel', to: { id: job.id } } as const
		this.loop.arrived(() => this.controller?.call(call, answered))
		this.clock.after(ASK_AGAIN, () => this.cancel(job))
	}

	private stepOf(task: string) {
		const [id, , step] = task.split('.')
		const job = this.asked.get(id)
		invariant(job !== undefined, 'only what a client asked for begins', { task })
		return job.request.steps[Number(step)]
	}

	private mayRun(task: string, worker: string, ticket: string): boolean {
		const [id] = task.split('.')
		const advised = this.state.jobs.find(id)?.queue.advice !== undefined
		return !advised || this.advisers.holds(ticket, task.slice(0, task.lastIndexOf('.')), worker)
	}
}
