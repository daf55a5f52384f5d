/**
 * A seeded simulation of the jobs of a cell on a manual clock: the real controller and replicated
 * state under a series of leaders, with simulated workers and clients, and faults of every kind.
 */
import {
	CellState,
	DEFAULT_LEADER_TIMING,
	JobController,
	JobState,
	DEFAULT_LEADER_POLICY,
	isSameWorker,
	type AdviceTerms,
	type CellCall,
	type CellConfiguration,
	type CellReply,
	type Heartbeat,
	type JobRecord,
	type JobRequest,
	type LeaderPolicy,
	type Queue,
} from '@rillrudder/jobs'
import { CarriedOrders, LoopDelay } from '@rillrudder/member'
import { Ledger, WorkerHealth } from '@rillrudder/scheduler'
import { Log, Meter } from '@rillrudder/telemetry'
import { invariant, ManualClock, Random } from '@rillrudder/utils'
import { FLEET_DATA_CENTRES, Fleet } from './Fleet'
import { FleetCarrier, LEADER_INCARNATION } from './FleetCarrier'
import { FleetOrders } from './FleetOrders'
import type { FleetWorker } from './FleetWorker'
import { COMMON_FAULTS, JobFaults, RESTART_FAULTS, type JobFault } from './JobFaults'
import { IdleJobs } from './IdleJobs'
import { PendingCountProbe } from './PendingCountProbe'
import { JobInvariants } from './JobInvariants'
import { LeaderLoop } from './LeaderLoop'
import { randomJob, WIDE_GANG_SPEC, wideGangJob } from './randomJob'
import { checkOutcome, type SubmittedJob } from './checkOutcome'
import { ConfigurationProbe } from './ConfigurationProbe'
import { CrashingTasks, type CrashTally } from './CrashingTasks'
import type { CallerAccounts } from './CallerAccounts'
import { CompetingAccounts, totalRateOf, type Competition } from './CompetingAccounts'
import { RunAccounts } from './RunAccounts'
import { PLENTIFUL_ADVICE, RunAdvisers, type RunAdvice, SCARCE_ADVICE } from './RunAdvisers'
import { RunLog } from './RunLog'
import { StatusPolls, type SendCall } from './StatusPolls'

/** Length of one step of a run. */
const STEP_MS = 10
/** Share of jobs that are wide gangs in a run with wide gangs. */
const WIDE_GANG_SHARE = 0.25
/** Interval between two ticks of the leader. */
const TICK_INTERVAL_MS = 20
/** Election timeout, after which a leader that does not tick loses its lease. */
const ELECTION_TIMEOUT_MS = 300
/** Time without a leader after one has lost its lease. */
const ELECTION_MS = 400
/** Time over which the delay of the leader's event loop is averaged. */
const LOOP_WINDOW_MS = 300
/** Time after which a client without an answer retries. */
const RETRY_MS = 400
/** The same in a run whose messages cost CPU time, as long as an entry instance waits for an answer. */
const PATIENT_RETRY_MS = 800
/** Number of refusals after which a client gives a job up. */
const MAX_REFUSALS = 5
/** Time after the end of all faults within which all jobs must end. */
const SETTLE_MS = 90_000
/** Interval between two looks for jobs that are left while a run settles. */
const IDLE_CHECK_MS = 100
/** Time without a leader when one is lost while a run settles. */
const QUIET_LEADERLESS_MS = 500
/** Sets the random generator of permanent losses apart from the run's own. */
const LOSSES_SEED_MASK = 0x5bd1

/** Options of a {@link JobRun}. @public */
export interface JobRunOptions {
	readonly seed: number
	/** Faults per second; 0 for none. */
	readonly faultRate: number
	/** Jobs submitted per second. */
	readonly jobRate: number
	/** The faults that may occur; {@link COMMON_FAULTS} if absent. */
	readonly faults?: readonly JobFault[]
	/** Whether callers belong to accounts whose keys and quotas change. */
	readonly accounts?: boolean
	/**
	 * Competing accounts, in place of accounts whose keys and quotas change; they also set the rate
	 * of jobs.
	 */
	readonly competition?: Competition
	/**
	 * Whether workers report when they started; by default only if a fault restarts them under
	 * their names.
	 */
	readonly reportsStartTime?: boolean
	/** Whether some tasks crash the workers that start them. */
	readonly crashingTasks?: boolean
	/** Share of the workers crashed by tasks that restart under their names; 0 if absent. */
	readonly restartedShare?: number
	/**
	 * Share of crashed workers whose machines never come back, while fresh machines join in their
	 * place; 0 if absent.
	 */
	readonly goneShare?: number
	/** Interval at which leaders are lost while the run settles, in milliseconds; never if absent. */
	readonly quietLeaderPeriod?: number
	/**
	 * Share of slow answers of workers; if it is above 0, answers also arrive after the worker has
	 * ended.
	 */
	readonly slowAnswers?: number
	/** Whether the leader gets routine heartbeats from other instances only. */
	readonly relaysHeartbeats?: boolean
	/** Relative speed of each worker, by its number; 1 if absent. */
	readonly speedOf?: (worker: number) => number
	/** Whether some jobs are wide gangs, with advice tickets that expire soon after they arrive. */
	readonly wideGangs?: boolean
	/**
	 * CPU time of the leader for each message, in milliseconds; 0 if absent. With it, a leader that
	 * does not tick for an election timeout is replaced, clients ask for their jobs, and an operator
	 * changes the configuration.
	 */
	readonly messageCost?: number
	/** The policy of the leaders; {@link DEFAULT_LEADER_POLICY} if absent. */
	readonly policy?: LeaderPolicy
	/** Writes the lines of the leaders' logs; they are dropped if absent. */
	readonly writeLog?: (line: string) => void
}

/** Counts of a run. @public */
export interface JobRunTally {
	jobs: number
	cancelled: number
	leaders: number
	/** Runs that started on workers. */
	readonly starts: number
	/** Members of gangs that ended because the others did not start in time. */
	readonly timedOutMembers: number
	/** Number of gangs that worked, and of those that a slow worker slowed down. */
	readonly gangs: number
	readonly slowGangs: number
	/** Number of wide gangs that completed, and their mean duration in milliseconds. */
	readonly wideGangs: { readonly done: number; readonly took: number }
	/** Total time of the answers of the advice service, in milliseconds. */
	readonly adviceMs: number
	/** Counts of crashing tasks; undefined in a run without them. */
	readonly crashes: CrashTally | undefined
	readonly faults: { readonly [fault: string]: number }
}

/** A number of workers that makes a leader send its orders through carriers. */
const CARRIED_WORKER_COUNT = 1000
const SERVICE = 'controller'
const URGENT = queueOf('urgent', 0, 2)
const BATCH = queueOf('batch', 2, 3)
/** Workers in each data centre of a run with wide gangs: advice about all of them takes long. */
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
 * A seeded simulation of the jobs of a cell.
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
	/**
	 * Generates jobs; a generator of its own in a run with wide gangs, whose jobs then do not
	 * depend on the leaders' decisions.
	 */
	private readonly jobRandom: Random
	readonly invariants: JobInvariants
	private readonly accounts: CallerAccounts | undefined
	private readonly competingAccounts: CompetingAccounts | undefined
	private readonly crashingTasks: CrashingTasks | undefined
	private version = 0
	readonly fleet: Fleet
	private readonly faults: JobFaults
	private readonly submitted = new Map<string, SubmittedJob>()
	/** Instances that carry orders, one in each data centre except the leader's. */
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
	private loopDelay: LoopDelay
	private readonly polls: StatusPolls | undefined
	private readonly probe: ConfigurationProbe | undefined
	/** Checks the counts of pending jobs. */
	readonly pendingCounts: PendingCountProbe
	private tickAt = 0

	/** @param options - the seed, rates and faults. */
	constructor(private readonly options: JobRunOptions) {
		this.random = new Random(options.seed)
		const { seed, competition, goneShare = 0 } = options
		const losses = new Random(seed ^ LOSSES_SEED_MASK)
		this.jobRandom = options.wideGangs ? new Random(seed) : this.random
		this.competingAccounts = competition && new CompetingAccounts(seed, competition)
		this.accounts = this.competingAccounts ?? (options.accounts ? new RunAccounts(seed) : undefined)
		this.invariants = new JobInvariants(this.accounts)
		const { clock, random, invariants } = this
		this.loop = new LeaderLoop(clock, options.messageCost)
		this.loopDelay = this.newLoopDelay()
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
			isReplaced: () => goneShare > 0 && losses.chance(goneShare),
			stepOf: (task) => this.stepOf(task),
			mayRun: (task, worker, ticket) => this.mayRun(task, worker, ticket),
			heldHeartbeatShare: () => this.faults.heldHeartbeatShare,
			isRelayed: options.relaysHeartbeats ? (heartbeat) => this.isRoutine(heartbeat) : undefined,
			refusal: () => this.faults.randomRefusal(),
			onRunStarted: (machine, task) => this.crashingTasks?.onRunStarted(machine, task),
			call: (call, reply) => this.loop.onMessage(() => this.controller?.call(call, reply)),
		})
		this.direct = this.newOrders(() => false, this.loop)
		this.carriers = FLEET_DATA_CENTRES.slice(1).map((dataCentre) => this.newCarrier(dataCentre))
		this.pendingCounts = new PendingCountProbe({
			clock,
			queues: this.queues,
			call: (call, reply) => this.controller?.call(call, reply),
			hasBegun: (id) => invariants.hasBegun(id),
		})
		this.startLeader()
		this.configure()
		this.advance(2000)
		if (options.messageCost === undefined) return
		const call: SendCall = (one, reply) => this.callLeader(one, reply)
		this.polls = new StatusPolls(clock, call)
		this.probe = new ConfigurationProbe(clock, call, () => this.nextConfiguration())
	}

	/** Number of configurations that an operator changed and read back in a run with `messageCost`. */
	get confirmedConfigurations(): number {
		return this.probe?.confirmed ?? 0
	}

	private isRoutine({ worker, draining }: Heartbeat): boolean {
		const known = this.state.workers.find(worker.id)
		return known !== undefined && !draining && isSameWorker(known.worker, worker)
	}

	/** Counts so far. */
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

	/** All jobs in the replicated state. */
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

	/** Submits jobs and injects faults for a number of milliseconds. */
	run(span: number): void {
		const until = this.clock.now() + span
		while (this.clock.now() < until) {
			if (this.clock.now() >= this.nextJobAt) this.submitNewJob()
			this.faults.tick()
			if (this.accounts?.changeIfDue(this.clock.now())) this.configure()
			this.advance(STEP_MS)
		}
	}

	/**
	 * Ends all faults, waits for the jobs to end, and checks that no accepted job is lost, nor left
	 * without a run while there is room for it.
	 * @throws InvariantBroken
	 */
	settle(): void {
		this.faults.endAll()
		if (!this.controller) this.startLeader()
		this.accounts?.liftQuotas()
		if (this.accounts) this.configure()
		const idleJobs = this.newIdleJobs()
		this.waitQuietly(idleJobs)
		for (const { worker, isGone } of this.fleet.machines) {
			if (isGone) continue
			const known = this.state.workers.find(worker.id) !== undefined
			invariant(known, 'a worker that reports is known by its present life', {
				worker: worker.id,
			})
		}
		for (const job of this.submitted.values()) {
			const crashes = this.crashingTasks?.hasCrashingTask(job.id) ?? false
			checkOutcome(job, this.state.jobs.find(job.id), this.invariants, crashes)
		}
		idleJobs.check()
	}

	/** Waits for the jobs to end, under a new leader from time to time if the options say so. */
	private waitQuietly(idleJobs: IdleJobs): void {
		const { quietLeaderPeriod = SETTLE_MS } = this.options
		for (let spent = 0; spent < SETTLE_MS; spent += IDLE_CHECK_MS) {
			if (spent > 0 && spent % quietLeaderPeriod === 0) this.loseLeader(QUIET_LEADERLESS_MS)
			this.advance(IDLE_CHECK_MS)
			idleJobs.observe()
		}
	}

	private newIdleJobs(): IdleJobs {
		return new IdleJobs({
			clock: this.clock,
			invariants: this.invariants,
			submitted: this.submitted,
			machinesUp: () => this.fleet.machines.filter(({ isUp }) => isUp),
			recordOf: (id) => this.state.jobs.find(id),
			isAllowed: ({ queue }, step, worker) =>
				queue.advice === undefined || this.advisers.allows(step, worker),
		})
	}

	/** Ends the leader; another one starts after `gap` milliseconds. */
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

	/** Cancels a random share of the accepted jobs. */
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
		this.loopDelay = this.newLoopDelay()
		this.tickAt = this.clock.now()
		const orders = this.newCarriedOrders(term)
		this.orders = orders
		const state = new CellState()
		state.restore(this.state.snapshot())
		this.state = state
		const log = new RunLog(clock, random, state, this.loop)
		const discard = (): void => undefined
		const { writeLog } = this.options
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
			log: new Log('run', clock, writeLog ? 'debug' : 'silent', writeLog ?? discard),
			meter: new Meter(),
			loopDelay: () => this.loopDelay.mean,
			onDeposed: () => this.onDeposed(controller),
		})
		this.log = log
		this.controller = controller
		state.observer = (change) => controller.onChange(change)
	}

	/** Sends a new configuration; with accounts, until it is confirmed or superseded. */
	private configure(): void {
		this.sendConfiguration(this.nextConfiguration())
	}

	private nextConfiguration(): CellConfiguration {
		const services = [{ name: SERVICE, enforcesCapacity: false }]
		const accounts = this.accounts?.nextAccounts()
		const version = ++this.version
		return { version, queues: this.queues, services, accounts, document: '{}' }
	}

	private callLeader(call: CellCall, reply: (reply: CellReply) => void): void {
		this.loop.onMessage(() => this.controller?.call(call, reply))
	}

	private newLoopDelay(): LoopDelay {
		return new LoopDelay(TICK_INTERVAL_MS, this.clock.now(), LOOP_WINDOW_MS)
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
			deliverResults: (results) => this.loop.onMessage(() => this.orders?.onResults(results)),
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
			incarnation: LEADER_INCARNATION,
			clock,
			log: new Log('run', clock, 'silent', () => undefined),
			linkedCarriers: () => carriers.filter((carrier) => carrier.isLinked),
			lastHeardAt: (id) => carrierById(id)?.heardAt ?? Number.NEGATIVE_INFINITY,
			workerCount: () => CARRIED_WORKER_COUNT,
			send: (to, batch) => carrierById(to)?.take(batch) ?? false,
		})
	}

	/** Cuts the link between a carrier and the leader. */
	unlink(carrier: FleetCarrier): void {
		carrier.isLinked = false
		this.orders?.onLinkLost(carrier.id)
	}

	/** Checks that workers refuse only a leader that another has replaced. */
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
			else if (this.hasLostLease()) this.loseLeader(ELECTION_MS)
			this.polls?.tick()
			this.probe?.tick()
			this.pendingCounts.tick()
		}
	}

	/** Whether a leader without CPU time has missed its heartbeats for too long. */
	private hasLostLease(): boolean {
		if (this.options.messageCost === undefined || !this.controller) return false
		return this.clock.now() - this.tickAt > ELECTION_TIMEOUT_MS
	}

	/** Handles what waits in the leader's event loop, then ticks, places and sends. */
	private runLeader(): void {
		this.loop.resume()
		if (this.clock.now() >= this.tickAt) {
			this.tickAt = this.clock.now() + TICK_INTERVAL_MS
			this.loopDelay.onTimer(this.clock.now())
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
			refusals: 0,
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
		// Advice that excludes every worker with the label would make the job impossible to run.
		const plain = steps.every((step) => !step.lasting && step.requires === '')
		// Shares order only work of equal priority.
		return plain && !this.competingAccounts ? random.pick(this.queues) : urgent
	}

	private submit(job: SubmittedJob, queue: string): void {
		if (job.isAccepted || job.isRefused || job.isUncertain) return
		const keyDigest = this.accounts?.keyDigestFor(job.id, job.request)
		const to = { queue, id: job.id, keyDigest }
		if (this.controller) job.unansweredCalls += 1
		const onReply = ({ kind }: CellReply): void => {
			job.unansweredCalls -= 1
			if (kind === 'accepted' && !job.isAccepted) this.onAccepted(job, queue)
			if (kind === 'not-run') job.refusals += 1
			const isFinal = kind === 'unauthorized' || kind === 'impossible'
			if (isFinal || job.refusals >= MAX_REFUSALS) this.onRefused(job)
		}
		const call = { kind: 'submit', to, job: job.request } as const
		this.loop.onMessage(() => this.controller?.call(call, onReply))
		this.clock.after(this.retryDelay, () => this.submit(job, queue))
	}

	private onAccepted(job: SubmittedJob, queue: string): void {
		job.isAccepted = true
		this.polls?.add(job.id, queue)
		this.pendingCounts.add(job, queue)
	}

	private get retryDelay(): number {
		return this.options.messageCost === undefined ? RETRY_MS : PATIENT_RETRY_MS
	}

	/**
	 * After a call without an answer the job may run although a later call is refused; it is not
	 * submitted again.
	 */
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
		return !advised || this.advisers.isValid(ticket, task.slice(0, task.lastIndexOf('.')), worker)
	}
}
