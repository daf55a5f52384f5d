/** The leader's controller of a cell: answers calls and decides which task runs on which worker. */
import { Measure } from '@rillrudder/telemetry'
import { exhaustive } from '@rillrudder/utils'
import type { CellConfiguration, Heartbeat, Queue } from '../records/Cell'
import { formatTaskName, type JobState } from '../records/Job'
import type { Change } from '../state/Change'
import { UsefulnessOrder } from '../placement/UsefulnessOrder'
import { Precedence } from '../placement/Precedence'
import { objectiveOf } from '../placement/stepTimes'
import { isActive, type JobRecord } from '../state/JobRecord'
import { Suspicion, suspicionOf } from '../state/TaskCrashes'
import { AccountUsage } from '../accounts/AccountUsage'
import { LeaderShares } from '../shares/LeaderShares'
import { listAccounts } from '../accounts/listAccounts'
import type { AccountSummary, CellCall, CellReply } from './callers/calls'
import { AdmissionControl } from './callers/AdmissionControl'
import { ClientCalls } from './callers/ClientCalls'
import { epochTimeOf, type LeaderContext } from './LeaderContext'
import { LeaderEvent } from './LeaderEvent'
import { explainJob, listJobs } from './explainJob'
import { Reconciliation } from './Reconciliation'
import { RunController } from './runs/RunController'
import { StartDelays } from './runs/StartDelays'
import { StartWindow } from './steps/StartWindow'
import { StepScheduler } from './steps/StepScheduler'
import { WorkerRegistry } from './workers/WorkerRegistry'
import { SpeedMonitor } from '../speeds/SpeedMonitor'

/** Milliseconds after which a client may retry reading a configuration that does not exist yet. */
const RETRY_AFTER_MS = 1000
/** Milliseconds between full passes, which also try steps for which no capacity has become free. */
const FULL_PASS_PERIOD_MS = 100
/** Bound on the delay of starts, in milliseconds, where no queue has a latency target. */
const DEFAULT_LATENCY_TARGET_MS = 1000
/** Milliseconds between two updates of the share of new jobs that are accepted. */
const ADMISSION_PERIOD_MS = 250
/** Milliseconds between two searches for ended jobs whose retention is over. */
const FORGET_PERIOD_MS = 5000

type CrashCounted = Extract<Change, { readonly kind: 'crash-counted' }>
type Reply = (reply: CellReply) => void

/**
 * The leader's controller of a cell. One instance serves one leadership.
 *
 * @example
 * ```ts
 * const controller = new JobController(context)
 * controller.call({ kind: 'submit', to, job }, (reply) => send(reply))
 * controller.tick()
 * ```
 * @public
 */
export class JobController {
	private readonly workers: WorkerRegistry
	private readonly precedence = new Precedence()
	private readonly runs: RunController
	private readonly steps: StepScheduler
	private readonly clients: ClientCalls
	private readonly startDelays: StartDelays
	private readonly startWindow = new StartWindow()
	private readonly admission = new AdmissionControl()
	private readonly accounts: AccountUsage
	private readonly shares: LeaderShares
	private readonly reconciliation: Reconciliation
	private readonly speeds: SpeedMonitor
	private fullPassDue = 0
	private forgetDue = 0
	private admissionDue = 0
	private isPlacing = false
	/** The state of a job as callers and operators are told. */
	private readonly stateOf = (job: JobRecord): JobState => this.runs.stateOf(job)

	/**
	 * @param context - the state as of the start of this leadership, and the ports of the
	 * controller.
	 */
	constructor(private readonly context: LeaderContext) {
		const { state, log, term } = context
		this.startDelays = new StartDelays(context.clock.now())
		this.accounts = new AccountUsage(
			state.configuration?.accounts ?? [],
			context.timing.quotaTolerance
		)
		const use = new UsefulnessOrder(context.policy)
		this.shares = new LeaderShares(context, this.accounts, use)
		this.workers = new WorkerRegistry(context, this.accounts, {
			onPolled: (view, result, sentAt) => {
				this.runs.onPolled(view, result, sentAt)
				this.speeds.onPoll(view, result)
			},
		})
		this.speeds = new SpeedMonitor(context, this.workers, use)
		this.precedence.onQueuesConfigured(state.configuration?.queues ?? [], context.clock.now())
		this.runs = new RunController(context, this.workers, this.precedence, this.accounts, {
			onTicketRefused: (task, worker) => this.steps.onTicketRefused(task, worker),
			onNotServed: (task, worker) => this.steps.onRunNotServed(task, worker),
			onStarted: (delay) => this.startDelays.record(delay),
		})
		const { workers, runs, precedence, accounts, shares } = this
		this.steps = new StepScheduler(
			context,
			workers,
			runs,
			precedence,
			accounts,
			shares,
			this.startWindow
		)
		this.clients = new ClientCalls(context, this.admission, this.stateOf)
		this.reconciliation = new Reconciliation(context, this.steps)
		for (const job of state.jobs.all()) this.restoreJob(job)
		log.info(LeaderEvent.LeadershipGained, {
			term,
			jobs: state.jobs.size,
			runs: this.runs.size,
			configuration: state.configuration?.version ?? 0,
		})
	}

	/** Updates the gauges of runs, configuration, admission, steps, shares, workers and speeds. */
	measure(): void {
		const { meter, state } = this.context
		meter.gauge(Measure.Runs, this.runs.size)
		meter.gauge(Measure.Configuration, state.configuration?.version ?? 0)
		meter.gauge(Measure.AdmittedShare, this.admission.share)
		this.steps.measure()
		this.shares.updateMetrics()
		this.workers.updateGauges()
		this.speeds.updateMetrics()
	}

	/**
	 * Handles a call. `reply` is called at once, or after the command that the call requires is
	 * committed.
	 */
	call(call: CellCall, reply: Reply): void {
		switch (call.kind) {
			case 'submit':
				return this.clients.submit(call, reply)
			case 'show':
				return reply(this.clients.show(call.to))
			case 'cancel':
				return this.clients.cancel(call.to, reply)
			case 'list-jobs':
				return reply({
					kind: 'jobs',
					jobs: listJobs(this.context.state, this.stateOf, call.filter),
				})
			case 'explain-job':
				return reply(this.explain(call.id))
			case 'list-accounts':
				return reply({ kind: 'accounts', accounts: this.listAccounts() })
			case 'configure':
				return this.configure(call.configuration, reply)
			case 'read-configuration':
				return reply(this.readConfiguration())
			case 'heartbeat':
				return this.heartbeat(call.heartbeat, reply)
			case 'heartbeats':
				for (const heard of call.heard) this.workers.onHeartbeatRelayed(heard)
				return reply({ kind: 'noted' })
			case 'leave':
				return this.workers.onWorkerLeaving(call.worker, () => reply({ kind: 'noted' }))
			case 'advise':
				return reply({ kind: 'unknown', reason: 'a leader asks others for advice' })
			default:
				return exhaustive(call)
		}
	}

	/** Applies a change of the replicated state, made by a committed command, to the controller. */
	onChange(change: Change): void {
		switch (change.kind) {
			case 'configured':
				return this.onConfigured(change.configuration)
			case 'job-accepted':
				return this.steps.addJob(change.job)
			case 'job-ended':
				return this.onJobEnded(change.job)
			case 'run-begun':
				this.steps.onRunStarted(change.task, change.worker)
				return this.runs.onStartCommitted(change.task, change.attempt, change.worker)
			case 'run-void':
				this.steps.onRunVoided(change.task, change.worker)
				return this.runs.onStartVoided(change.task, change.attempt, change.worker)
			case 'run-ended':
				this.runs.onEnded(change.task, change.attempt, change.worker, change.how)
				return this.steps.onRunEnded(change.task, change.worker, change.how)
			case 'crash-counted':
				return this.onCrashCounted(change)
			case 'task-cleared':
				return this.steps.reconsider(change.task)
			case 'task-done':
				this.runs.stopTask(change.task)
				return this.steps.onTaskSettled(change.task)
			case 'worker-joined':
				return this.workers.onWorkerJoined(change.worker)
			case 'worker-draining':
				return this.workers.onWorkerDraining(change.worker)
			case 'worker-gone':
				this.speeds.onIncarnationEnd(change.worker)
				return this.workers.onWorkerGone(change.worker)
			default:
				return exhaustive(change)
		}
	}

	/** Runs periodic work and timeouts; to be called every few tens of milliseconds. */
	tick(): void {
		const now = this.context.clock.now()
		this.workers.tick(now)
		this.runs.tick(now)
		this.steps.tick(now)
		this.reconciliation.tick(now)
		this.speeds.tick(now)
		this.shares.tick(now)
		this.updateStartWindow(now)
		if (now >= this.admissionDue) this.updateAdmission(now)
		if (now >= this.forgetDue) this.forgetEndedJobs(now)
		this.place()
	}

	/** Starts the tasks that can start; to be called after every batch of events. */
	place(): void {
		if (this.isPlacing) return
		this.isPlacing = true
		const now = this.context.clock.now()
		const full = now >= this.fullPassDue
		if (full) this.fullPassDue = now + FULL_PASS_PERIOD_MS
		this.steps.place(now, full)
		const { clock, meter } = this.context
		meter.observe(Measure.PassTime, clock.now() - now, { full: String(full) })
		this.isPlacing = false
	}

	/**
	 * Adjusts the limit of concurrent starts. A cell is behind when half of its starts take longer
	 * than the shortest latency target of its queues, which bounds a whole job.
	 */
	private updateStartWindow(now: number): void {
		const { runs, startWindow: window, context } = this
		const delay = this.startDelays.takeMedian(now, () => runs.unconfirmedStartAges())
		if (delay === undefined) return
		const { size: before } = window
		const bound = shortestTarget(context.state.configuration?.queues ?? [])
		const { startsInProgress: starts } = runs
		window.update(delay, bound, starts)
		const { size } = window
		if (size === before) return
		const most = window.isBounded ? size : undefined
		context.log.info(LeaderEvent.StartWindowChanged, {
			most,
			delay: Math.round(delay),
			bound,
			starts,
		})
		context.meter.gauge(Measure.StartWindow, most ?? 0)
	}

	/** Adjusts the share of new jobs that are accepted to the delay of the event loop. */
	private updateAdmission(now: number): void {
		this.admissionDue = now + ADMISSION_PERIOD_MS
		const { admission, context } = this
		const { share: before } = admission
		const delay = context.loopDelay()
		admission.update(delay)
		const { share } = admission
		if (share === before) return
		context.log.info(LeaderEvent.AdmissionChanged, {
			share: Number(share.toFixed(3)),
			delay: Math.round(delay),
		})
	}

	private restoreJob(job: JobRecord): void {
		this.workers.restoreAbandonedRuns(job)
		this.runs.restoreJob(job)
		if (isActive(job)) this.steps.addJob(job)
	}

	private explain(id: string): CellReply {
		const { state, term } = this.context
		const job = state.jobs.find(id)
		if (!job) return { kind: 'no-such-job' }
		return {
			kind: 'explanation',
			explanation: explainJob(state, this.stateOf, this.steps, job, term),
		}
	}

	private listAccounts(): AccountSummary[] {
		const { state, ledger } = this.context
		const work = { jobs: state.jobs.all(), waiting: this.steps.countWaitingByAccount() }
		const refusalCountOf = (name: string): number => this.clients.refusalCountOf(name)
		return listAccounts(this.accounts, work, refusalCountOf, ledger.total, [
			...this.shares.capacityShares.standings(),
		])
	}

	private configure(configuration: CellConfiguration, reply: Reply): void {
		const held = this.context.state.configuration?.version ?? 0
		if (configuration.version <= held) {
			reply({ kind: 'noted' })
			return
		}
		this.context.proposals.propose({ kind: 'configure', configuration }, () =>
			reply({ kind: 'noted' })
		)
	}

	private readConfiguration(): CellReply {
		const { configuration } = this.context.state
		if (!configuration) {
			return { kind: 'not-run', reason: 'no configuration yet', retryAfter: RETRY_AFTER_MS }
		}
		return { kind: 'configuration', configuration }
	}

	private heartbeat(heartbeat: Heartbeat, reply: Reply): void {
		this.workers.handleHeartbeat(heartbeat, (noted) =>
			reply(
				noted ? { kind: 'noted' } : { kind: 'unknown', reason: 'another worker is known there' }
			)
		)
	}

	private onConfigured(configuration: CellConfiguration): void {
		const { version, queues, accounts } = configuration
		this.clients.onConfigured(configuration)
		this.accounts.configure(accounts ?? [])
		this.precedence.onQueuesConfigured(queues, this.context.clock.now())
		this.steps.onConfigured()
		this.runs.onConfigured()
		this.context.log.info(LeaderEvent.ConfigurationApplied, {
			configuration: version,
			queues: queues.length,
			accounts: accounts?.length,
		})
	}

	private onJobEnded(job: JobRecord): void {
		const took = job.ended - job.submitted
		const { log, meter } = this.context
		const objective = Math.round(objectiveOf(job.request, job.queue))
		log.info(LeaderEvent.JobEnded, { job: job.id, state: job.state, took, objective })
		meter.count(Measure.JobsEnded, { state: job.state })
		meter.observe(Measure.JobTime, took, { state: job.state })
		this.steps.removeJob(job)
		this.runs.stopJob(job)
	}

	/**
	 * Logs the crash of a worker that ran the task, and the abandoned task once the suspicion is
	 * proven.
	 */
	private onCrashCounted({ task: name, worker, crashed }: CrashCounted): void {
		const { log, meter } = this.context
		const task = formatTaskName(name)
		const evidence = crashed.find((lost) => lost.worker === worker)?.evidence ?? 'none'
		const suspicion = suspicionOf({ crashed })
		meter.count(Measure.TaskCrashes, { evidence })
		const { length: crashes } = crashed
		log.info(LeaderEvent.TaskSuspected, { task, worker, evidence, crashes, suspicion })
		if (suspicion !== Suspicion.Proven) return
		meter.count(Measure.TasksGivenUp)
		log.warn(LeaderEvent.TaskGivenUp, {
			task,
			workers: crashed.map((lost) => lost.worker).join(' '),
		})
	}

	private forgetEndedJobs(now: number): void {
		this.forgetDue = now + FORGET_PERIOD_MS
		const { state, proposals, timing } = this.context
		const before = epochTimeOf(this.context) - timing.endedJobRetention
		const jobs: string[] = []
		for (const job of state.jobs.all()) {
			if (!isActive(job) && job.ended < before) jobs.push(job.id)
		}
		if (jobs.length > 0) proposals.propose({ kind: 'forget', jobs })
	}
}

/**
 * @returns the shortest latency target of the queues, in milliseconds; the default where none has
 * one.
 */
function shortestTarget(queues: readonly Queue[]): number {
	const targets = queues.map(({ latencyTarget }) => latencyTarget).filter((target) => target > 0)
	return targets.length > 0 ? Math.min(...targets) : DEFAULT_LATENCY_TARGET_MS
}
