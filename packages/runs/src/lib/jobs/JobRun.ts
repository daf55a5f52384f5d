/**
 * A seeded run of a cell's jobs on a clock moved by hand: the real controller and the real state under a series of
 * leaders, with workers and clients that behave as on the platform, and faults of every kind.
 */
import {
	CellState,
	DEFAULT_LEADER_TIMING,
	JobController,
	JobState,
	PLAIN_POLICY,
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
import { FLEET_DATA_CENTRES, Fleet } from './Fleet'
import { FleetCarrier, LEADER_INCARNATION } from './FleetCarrier'
import { FleetOrders } from './FleetOrders'
import type { FleetWorker } from './FleetWorker'
import { COMMON_FAULTS, JobFaults, RESTART_FAULTS, type JobFault } from './JobFaults'
import { JobInvariants } from './JobInvariants'
import { LeaderLoop } from './LeaderLoop'
import { randomJob, WIDE_GANG_SPEC, wideGangJob } from './randomJob'
import { checkOutcome, type SubmittedJob } from './checkOutcome'
import { CrashingTasks, type CrashTally } from './CrashingTasks'
import type { CallerAccounts } from './CallerAccounts'
import { CompetingAccounts, totalRateOf, type Competition } from './CompetingAccounts'
import { RunAccounts } from './RunAccounts'
import { PLENTIFUL_ADVICE, RunAdvisers, type RunAdvice, SCARCE_ADVICE } from './RunAdvisers'
import { RunLog } from './RunLog'

/** Milliseconds of one step of a run. */
const STEP_MS = 10
/** Share of jobs that are wide gangs, in a run with these. */
const WIDE_GANG_SHARE = 0.25
/** Milliseconds between two readings of the leader's clockwork. */
const TICK_INTERVAL_MS = 20
/** Milliseconds after which a client without an answer asks again. */
const RETRY_MS = 400
/** Everything is over so long after the faults have ended, in milliseconds. */
const SETTLE_MS = 90_000

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
	readonly reportsStartTime?: boolean
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
	readonly timedOutMembers: number
	/** How many gangs worked, and how many of them as slowly as a slow worker lets them. */
	readonly gangs: number
	readonly slowGangs: number
	/** Wide gangs that were done while jobs were handed in or after, and how many milliseconds each took on the mean. */
	readonly wideGangs: { readonly done: number; readonly took: number }
	/** Milliseconds of answers that leaders asked for. */
	readonly adviceMs: number
	/** What crashing tasks did; undefined in a run without them. */
	readonly crashes: CrashTally | undefined
	readonly faults: { readonly [fault: string]: number }
}

/** So many workers that a leader has its orders carried. */
const CARRIED_WORKER_COUNT = 1000
const SERVICE = 'controller'
const URGENT = queueOf('urgent', 0, 2)
const BATCH = queueOf('batch', 2, 3)
/** Workers in each data centre of a run with wide gangs: a question about all of them takes long. */
const WORKERS_EACH_FOR_WIDE_GANGS = 20

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
	readonly invariants: JobInvariants
	private readonly accounts: CallerAccounts | undefined
	private readonly competingAccounts: CompetingAccounts | undefined
	private readonly crashingTasks: CrashingTasks | undefined
	private version = 0
	readonly fleet: Fleet
	private readonly faults: JobFaults
	private readonly submitted = new Map<string, SubmittedJob>()
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
		this.competingAccounts = competition && new CompetingAccounts(seed, competition)
		this.accounts = this.competingAccounts ?? (options.accounts ? new RunAccounts(seed) : undefined)
		this.invariants = new JobInvariants(this.accounts)
		const { clock, random, invariants } = this
		this.loop = new LeaderLoop(clock)
		this.crashingTasks = options.crashingTasks ? this.newCrashingTasks() : undefined
		const advice = options.wideGangs ? SCARCE_ADVICE : PLENTIFUL_ADVICE
		this.queues = [URGENT, { ...BATCH, advice: termsOf(advice) }]
		this.advisers = new RunAdvisers(clock, random, advice, this.loop)
		this.faults = new JobFaults(this, options.faultRate, options.faults ?? COMMON_FAULTS)
		this.fleet = new Fleet({
			clock,
			random,
			invariants,
			service: SERVICE,
			workersEach: options.wideGangs ? WORKERS_EACH_FOR_WIDE_GANGS : undefined,
			reportsStartTime:
				options.reportsStartTime ?? RESTART_FAULTS.some((fault) => this.faults.has(fault)),
			speedOf: options.speedOf,
			stepOf: (task) => this.stepOf(task),
			mayRun: (task, worker, ticket) => this.mayRun(task, worker, ticket),
			heldHeartbeatShare: () => this.faults.heldHeartbeatShare,
			refusal: () => this.faults.randomRefusal(),
			onRunStarted: (machine, task) => this.crashingTasks?.onRunStarted(machine, task),
			call: (call, reply) => this.loop.onMessage(() => this.controller?.call(call, reply)),
		})
		this.direct = this.newOrders(() => false, this.loop)
		this.carriers = FLEET_DATA_CENTRES.slice(1).map((dataCentre) => this.newCarrier(dataCentre))
		this.startLeader()
		this.configure()
		this.advance(2000)
	}

	/** What was done so far. */
	get tally(): JobRunTally {
		const jobs = [...this.submitted.values()]
		return {
			jobs: jobs.length,
			cancelled: jobs.filter((job) => job.isCancelled).length,
			leaders: this.term,
			starts: this.invariants.starts,
			timedOutMembers: this.fleet.gangs.timedOutMembers,
			gangs: this.fleet.gangs.startedGangs,
			slowGangs: this.fleet.gangs.slowGangs,
			wideGangs: this.wideTally,
			adviceMs: this.advisers.answerMs,
			crashes: this.crashingTasks?.tally,
			faults: this.faults.counts,
		}
	}

	/** All jobs that are kept. */
	get jobs(): Iterable<JobRecord> {
		return this.state.jobs.all()
	}

	private get wideTally() {
		const records = [...this.submitted.values()]
			.filter(({ request }) => request.spec === WIDE_GANG_SPEC)
			.map(({ id }) => this.state.jobs.find(id))
		const done = records.filter((job) => job?.state === JobState.Completed)
		const total = done.reduce((sum, job) => sum + (job?.ended ?? 0) - (job?.submitted ?? 0), 0)
		return { done: done.length, took: Math.round(total / Math.max(1, done.length)) }
	}

	/** Lets clients hand jobs in and things go wrong for a span, in milliseconds. */
	run(span: number): void {
		const until = this.clock.now() + span
		while (this.clock.now() < until) {
			if (this.clock.now() >= this.nextJobAt) this.submitNewJob()
			this.faults.tick()
			if (this.accounts?.changeIfDue(this.clock.now())) this.configure()
			this.advance(STEP_MS)
		}
	}

	/** Ends all faults, waits, and checks that nothing accepted is lost. */
	settle(): void {
		this.faults.endAll()
		if (!this.controller) this.startLeader()
		this.accounts?.liftQuotas()
		if (this.accounts) this.configure()
		this.advance(SETTLE_MS)
		for (const { worker } of this.fleet.machines) {
			const known = this.state.workers.find(worker.id) !== undefined
			invariant(known, 'a worker that reports is known by its present life', { worker: worker.id })
		}
		for (const job of this.submitted.values()) {
			const crashes = this.crashingTasks?.hasCrashingTask(job.id) ?? false
			checkOutcome(job, this.state.jobs.find(job.id), this.invariants, crashes)
		}
	}

	/** The leader is lost; another leads after a while, in milliseconds. */
	loseLeader(gap: number): void {
		if (!this.controller) return
		this.state.observer = undefined
		this.log?.end()
		this.orders?.end()
		this.loop.clear()
		this.controller = undefined
		this.log = undefined
		this.clock.after(gap, () => this.startLeader())
	}

	/** Cancels some of the jobs that were accepted. */
	cancelSome(share: number): void {
		for (const job of this.submitted.values()) {
			if (!job.isAccepted || job.isCancelRequested || !this.random.chance(share)) continue
			job.isCancelRequested = true
			this.cancel(job)
		}
	}

	private startLeader(): void {
		if (this.controller) return
		const { clock, random, advisers } = this
		const term = ++this.term
		const orders = this.newCarriedOrders(term)
		this.orders = orders
		const state = new CellState()
		state.restore(this.state.snapshot())
		this.state = state
		const log = new RunLog(clock, random, state, this.loop)
		const discard = (): void => undefined
		const controller: JobController = new JobController({
			state,
			ledger: new Ledger(new Random(this.options.seed)),
			health: new WorkerHealth(),
			clock,
			random,
			timing: DEFAULT_LEADER_TIMING,
			policy: this.options.policy ?? PLAIN_POLICY,
			term,
			orders,
			advisers,
			proposals: log,
			log: new Log('run', clock, 'silent', discard),
			meter: new Meter(),
			deposed: () => this.onDeposed(controller),
		})
		this.log = log
		this.controller = controller
		state.observer = (change) => controller.changed(change)
	}

	/** An operator sends a configuration until it is confirmed. */
	private configure(): void {
		const services = [{ name: SERVICE, enforcesCapacity: false }]
		const accounts = this.accounts?.nextAccounts()
		const version = ++this.version
		this.sendConfiguration({ version, queues: this.queues, services, accounts, document: '{}' })
	}

	private sendConfiguration(configuration: CellConfiguration): void {
		let confirmed = false
		this.controller?.call({ kind: 'configure', configuration }, ({ kind }) => {
			confirmed = kind === 'noted'
			if (confirmed && configuration.version === this.version) {
				this.accounts?.onConfirmed(this.clock.now())
			}
		})
		if (!this.accounts) return
		this.clock.after(RETRY_MS, () => {
			if (!confirmed && configuration.version === this.version) {
				this.sendConfiguration(configuration)
			}
		})
	}

	private newCrashingTasks(): CrashingTasks {
		const crash = (machine: FleetWorker, away: number): void => this.fleet.crash(machine, away)
		const restart = (machine: FleetWorker, away: number): void => this.fleet.restart(machine, away)
		const { seed, restartedShare = 0 } = this.options
		return new CrashingTasks({ seed, clock: this.clock, crash, restart, restartedShare })
	}

	private newOrders(cut: () => boolean, loop?: LeaderLoop): FleetOrders {
		const { clock, random } = this
		return new FleetOrders({
			clock,
			random,
			machineAt: (address) => this.fleet.machineAt(address),
			isCutOff: cut,
			lateShare: () => this.faults.lateOrderShare,
			lostShare: () => this.faults.lostAnswerShare,
			slowShare: this.options.slowAnswers ?? 0,
			loop,
		})
	}

	private newCarrier(dataCentre: string): FleetCarrier {
		const { clock, random } = this
		const carrier: FleetCarrier = new FleetCarrier({
			id: `core-${dataCentre}`,
			dataCentre,
			clock,
			random,
			orders: this.newOrders(() => carrier.isCutOff),
			deliverResults: (results) => this.loop.onMessage(() => this.orders?.taken(results)),
		})
		return carrier
	}

	private newCarriedOrders(term: number): CarriedOrders {
		const { clock, direct, carriers } = this
		const carrierById = (id: string): FleetCarrier | undefined =>
			carriers.find((one) => one.id === id)
		return new CarriedOrders({
			direct,
			term,
			life: LEADER_INCARNATION,
			clock,
			log: new Log('run', clock, 'silent', () => undefined),
			linked: () => carriers.filter((carrier) => carrier.isLinked),
			heardAt: (id) => carrierById(id)?.heardAt ?? Number.NEGATIVE_INFINITY,
			workers: () => CARRIED_WORKER_COUNT,
			send: (to, batch) => carrierById(to)?.take(batch) ?? false,
		})
	}

	/** A carrying instance loses its link to the leader. */
	unlink(carrier: FleetCarrier): void {
		carrier.isLinked = false
		this.orders?.lost(carrier.id)
	}

	/** Only a leader that has been followed by another is refused by a worker. */
	private onDeposed(controller: JobController): void {
		invariant(this.controller !== controller, 'a leader is not refused for its term', {
			term: this.term,
		})
	}

	private advance(span: number): void {
		for (let spent = 0; spent < span; spent += STEP_MS) {
			this.clock.advance(STEP_MS)
			this.fleet.tick()
			for (const carrier of this.carriers) carrier.tick()
			if (!this.loop.isStalled) this.runLeader()
		}
	}

	/** The leader reads what has come, and acts. */
	private runLeader(): void {
		this.loop.resume()
		if (this.clock.now() >= this.tickAt) {
			this.tickAt = this.clock.now() + TICK_INTERVAL_MS
			this.orders?.tick(this.clock.now())
			this.controller?.tick()
		}
		this.controller?.place()
		this.log?.flush()
		this.orders?.flush()
	}

	private submitNewJob(): void {
		const { clock, options, invariants, jobRandom: random } = this
		const rate = options.competition ? totalRateOf(options.competition) : options.jobRate
		this.nextJobAt = clock.now() + random.exponential(1000 / rate)
		const id = random.integer(0, 0x7fffffff).toString(16).padStart(16, '0')
		if (this.submitted.has(id)) return
		const request = this.newRequest(random)
		const queue = this.queueFor(request, random)
		const job = {
			id,
			request,
			isAccepted: false,
			unansweredCalls: 0,
			isRefused: false,
			isUncertain: false,
			isCancelRequested: false,
			isCancelled: false,
		}
		this.submitted.set(id, job)
		invariants.onJobSubmitted(id, request, queue)
		this.crashingTasks?.onJobSubmitted(id, request)
		this.submit(job, queue.name)
	}

	private newRequest(random: Random): JobRequest {
		const { competingAccounts, options, clock } = this
		if (competingAccounts) return competingAccounts.request(random)
		if (options.wideGangs && random.chance(WIDE_GANG_SHARE)) return wideGangJob(random)
		return randomJob(random, clock.date().getTime())
	}

	private queueFor({ spec, steps }: JobRequest, random: Random): Queue {
		const [urgent, batch] = this.queues
		if (spec === WIDE_GANG_SPEC) return batch
		// A policy that bars every worker with the label would make the job one that can never run.
		const plain = steps.every((step) => !step.lasting && step.requires === '')
		// Shares order work of one priority.
		return plain && !this.competingAccounts ? random.pick(this.queues) : urgent
	}

	private submit(job: SubmittedJob, queue: string): void {
		if (job.isAccepted || job.isRefused || job.isUncertain) return
		const keyDigest = this.accounts?.keyDigestFor(job.id, job.request)
		const to = { queue, id: job.id, keyDigest }
		if (this.controller) job.unansweredCalls += 1
		const onReply = ({ kind }: CellReply): void => {
			job.unansweredCalls -= 1
			if (kind === 'accepted') job.isAccepted = true
			if (kind === 'unauthorized' || kind === 'impossible') this.onRefused(job)
		}
		const call = { kind: 'submit', to, job: job.request } as const
		this.loop.onMessage(() => this.controller?.call(call, onReply))
		this.clock.after(RETRY_MS, () => this.submit(job, queue))
	}

	/** A refusal after a call without an answer says nothing of that call; such a job may run, and is asked for no more. */
	private onRefused(job: SubmittedJob): void {
		if (job.unansweredCalls > 0) job.isUncertain = true
		else job.isRefused = true
	}

	private cancel(job: SubmittedJob): void {
		if (job.isCancelled) return
		const onReply = ({ kind }: CellReply): void => {
			if (kind !== 'noted') return
			job.isCancelled = true
			this.invariants.onJobCancelled(job.id, this.clock.now())
		}
		const call = { kind: 'cancel', to: { id: job.id } } as const
		this.loop.onMessage(() => this.controller?.call(call, onReply))
		this.clock.after(RETRY_MS, () => this.cancel(job))
	}

	private stepOf(task: string) {
		const [id, , step] = task.split('.')
		const job = this.submitted.get(id)
		invariant(job !== undefined, 'only what a client asked for begins', { task })
		return job.request.steps[Number(step)]
	}

	private mayRun(task: string, worker: string, ticket: string): boolean {
		const [id] = task.split('.')
		const advised = this.state.jobs.find(id)?.queue.advice !== undefined
		return (
			!advised || this.advisers.isValidTicket(ticket, task.slice(0, task.lastIndexOf('.')), worker)
		)
	}
}
