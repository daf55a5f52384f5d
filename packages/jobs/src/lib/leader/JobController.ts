/** The controller of a cell's leader: answers calls, and decides what runs where. */
import { Measure } from '@rillrudder/telemetry'
import { exhaustive } from '@rillrudder/utils'
import type { CellConfiguration, Heartbeat } from '../records/Cell'
import { countTasks } from '../records/checkJob'
import { JobState, type JobRequest } from '../records/Job'
import type { Change } from '../state/Change'
import { Precedence } from '../placement/Precedence'
import { objectiveOf } from '../placement/stepTimes'
import { isActive, type JobRecord } from '../state/JobRecord'
import type { CellCall, CellReply, Destination } from './calls'
import { epochOf, type LeaderContext } from './LeaderContext'
import { LeaderEvent } from './LeaderEvent'
import { explainJob, listJobs, shapeOf } from './explainJob'
import { QueueTable } from './QueueTable'
import { RunController } from './RunController'
import { StepScheduler } from './StepScheduler'
import { WorkerRegistry } from './WorkerRegistry'

/** Jobs that may be kept at a time; bounds the leader's memory and its snapshots. */
const MOST_JOBS = 20_000
/** Tasks of all kept jobs together, for the same reason: at about 100 bytes each, a sixth of the heap. */
const MOST_TASKS = 300_000
/** Milliseconds after which a refused submission may come again. */
const RETRY_AFTER = 1000
/** Milliseconds between two passes over steps for which nothing has come free. */
const FULL_PASS = 100
/** Milliseconds between two looks for jobs that may be forgotten. */
const FORGET_PERIOD = 5000

type Reply = (reply: CellReply) => void

/**
 * The controller of a cell's leader. It lives as long as one leadership.
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
	private queues: QueueTable
	/** Callers that wait for a submission to be committed, by the job's id. */
	private readonly submitting = new Map<string, Reply[]>()
	private fullPassDue = 0
	private forgetDue = 0
	private placing = false

	/** @param context - the state as of the beginning of this leadership, and the world around it. */
	constructor(private readonly context: LeaderContext) {
		const { state, log, term } = context
		this.workers = new WorkerRegistry(context, {
			polled: (view, result, sentAt) => this.runs.polled(view, result, sentAt),
		})
		this.precedence.configured(state.configuration?.queues ?? [], context.clock.now())
		this.runs = new RunController(context, this.workers, this.precedence, {
			ticketRefused: (task, worker) => this.steps.ticketRefused(task, worker),
			moved: (task, worker) => this.steps.movedAway(task, worker),
		})
		this.steps = new StepScheduler(context, this.workers, this.runs, this.precedence)
		this.queues = new QueueTable(state.configuration)
		for (const job of state.jobs.all()) this.takeUp(job)
		log.info(LeaderEvent.LeadershipGained, {
			term,
			jobs: state.jobs.size,
			runs: this.runs.size,
			configuration: state.configuration?.version ?? 0,
		})
	}

	/** Sets the gauges of what the controller has on it. */
	measure(): void {
		const { meter, state } = this.context
		meter.gauge(Measure.Runs, this.runs.size)
		meter.gauge(Measure.Configuration, state.configuration?.version ?? 0)
		this.steps.measure()
		this.workers.measure()
	}

	/** Answers a call, at once or once what it asks is committed. */
	call(call: CellCall, reply: Reply): void {
		switch (call.kind) {
			case 'submit':
				return this.submit(call.to, call.job, reply)
			case 'show':
				return reply(this.show(call.to))
			case 'cancel':
				return this.cancel(call.to, reply)
			case 'list-jobs':
				return reply({ kind: 'jobs', jobs: listJobs(this.context.state, call.filter) })
			case 'explain-job':
				return reply(this.explain(call.id))
			case 'configure':
				return this.configure(call.configuration, reply)
			case 'read-configuration':
				return reply(this.readConfiguration())
			case 'heartbeat':
				return this.heartbeat(call.heartbeat, reply)
			case 'heartbeats':
				for (const heard of call.heard) this.workers.heard(heard)
				return reply({ kind: 'noted' })
			case 'leave':
				return this.workers.leave(call.worker, () => reply({ kind: 'noted' }))
			case 'advise':
				return reply({ kind: 'unknown', reason: 'a leader asks others for advice' })
			default:
				return exhaustive(call)
		}
	}

	/** Takes in what a committed command has changed. */
	changed(change: Change): void {
		switch (change.kind) {
			case 'configured':
				return this.configured(change.configuration)
			case 'job-accepted':
				return this.steps.accept(change.job)
			case 'job-ended':
				return this.jobEnded(change.job)
			case 'run-begun':
				this.steps.begun(change.task)
				return this.runs.begun(change.task, change.attempt, change.worker)
			case 'run-void':
				this.steps.voided(change.task, change.worker)
				return this.runs.voided(change.task, change.worker)
			case 'run-ended':
				this.runs.ended(change.task, change.attempt, change.worker, change.how)
				return this.steps.ended(change.task, change.worker, change.how)
			case 'task-done':
				this.runs.stopTask(change.task)
				return this.steps.settled(change.task)
			case 'worker-joined':
				return this.workers.joined(change.worker)
			case 'worker-draining':
				return this.workers.draining(change.worker)
			case 'worker-gone':
				return this.workers.gone(change.worker)
			default:
				return exhaustive(change)
		}
	}

	/** Does what time has made due; to be called every few tens of milliseconds. */
	tick(): void {
		const now = this.context.clock.now()
		this.workers.tick(now)
		this.runs.tick(now)
		this.steps.tick(now)
		if (now >= this.forgetDue) this.forgetOld(now)
		this.place()
	}

	/** Begins what can begin; to be called after every batch of events. */
	place(): void {
		if (this.placing) return
		this.placing = true
		const now = this.context.clock.now()
		const full = now >= this.fullPassDue
		if (full) this.fullPassDue = now + FULL_PASS
		this.steps.place(now, full)
		this.placing = false
	}

	private takeUp(job: JobRecord): void {
		this.runs.restore(job)
		if (isActive(job)) this.steps.accept(job)
	}

	private submit(to: Destination, job: JobRequest, reply: Reply): void {
		const { state, proposals, log } = this.context
		const addressed = this.queues.find(to)
		if (!state.configuration) {
			reply({ kind: 'not-run', reason: 'no configuration yet', retryAfter: RETRY_AFTER })
			return
		}
		if (!addressed || addressed.id === '') {
			reply({ kind: 'no-such-queue' })
			return
		}
		const { id, queue } = addressed
		if (state.jobs.find(id)) {
			reply({ kind: 'accepted' })
			return
		}
		const waiting = this.submitting.get(id)
		if (waiting) {
			waiting.push(reply)
			return
		}
		const full = this.whyFull(job)
		if (full) {
			log.warn(LeaderEvent.JobRefused, { job: id, reason: full, jobs: state.jobs.size })
			reply({ kind: 'not-run', reason: full, retryAfter: RETRY_AFTER })
			return
		}
		this.submitting.set(id, [reply])
		const at = epochOf(this.context)
		proposals.propose({ kind: 'submit', id, queue, job, at }, () => this.submitted(id, queue.name))
	}

	/** @returns why no further job of this size can be kept; undefined when it can. */
	private whyFull(job: JobRequest): string | undefined {
		const { jobs } = this.context.state
		if (jobs.size >= MOST_JOBS) return 'too many jobs'
		return jobs.taskCount + countTasks(job) > MOST_TASKS ? 'too many tasks' : undefined
	}

	private submitted(id: string, queue: string): void {
		const configuration = this.context.state.configuration?.version
		const job = this.context.state.jobs.find(id)
		const shape = job ? shapeOf(job.request) : {}
		const objective = job ? Math.round(objectiveOf(job.request, job.queue)) : undefined
		this.context.log.info(LeaderEvent.JobAccepted, {
			job: id,
			queue,
			configuration,
			...shape,
			objective,
		})
		const waiting = this.submitting.get(id) ?? []
		this.submitting.delete(id)
		for (const reply of waiting) reply({ kind: 'accepted' })
	}

	private show(to: Destination): CellReply {
		const addressed = this.queues.find(to)
		if (!addressed) return { kind: 'no-such-queue' }
		if (addressed.id === '') return { kind: 'pending', count: this.pending(addressed.queue.name) }
		const job = this.context.state.jobs.find(addressed.id)
		return job ? { kind: 'state', state: job.state } : { kind: 'no-such-job' }
	}

	private explain(id: string): CellReply {
		const { state, term } = this.context
		const job = state.jobs.find(id)
		if (!job) return { kind: 'no-such-job' }
		return { kind: 'explanation', explanation: explainJob(state, this.steps, job, term) }
	}

	private pending(queue: string): number {
		let count = 0
		for (const job of this.context.state.jobs.all()) {
			if (job.queue.name === queue && job.state === JobState.Queued) count += 1
		}
		return count
	}

	private cancel(to: Destination, reply: Reply): void {
		const { state, proposals } = this.context
		const id = 'id' in to ? to.id : this.queues.find(to)?.id
		const job = id === undefined ? undefined : state.jobs.find(id)
		if (!job) {
			reply({ kind: 'no-such-job' })
			return
		}
		if (!isActive(job)) {
			reply({ kind: 'noted' })
			return
		}
		const command = { kind: 'cancel', id: job.id, at: epochOf(this.context) } as const
		proposals.propose(command, () => reply({ kind: 'noted' }))
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
			return { kind: 'not-run', reason: 'no configuration yet', retryAfter: RETRY_AFTER }
		}
		return { kind: 'configuration', configuration }
	}

	private heartbeat(heartbeat: Heartbeat, reply: Reply): void {
		this.workers.heartbeat(heartbeat, (noted) =>
			reply(
				noted ? { kind: 'noted' } : { kind: 'unknown', reason: 'another worker is known there' }
			)
		)
	}

	private configured(configuration: CellConfiguration): void {
		this.queues = new QueueTable(configuration)
		const { version, queues } = configuration
		this.precedence.configured(queues, this.context.clock.now())
		this.context.log.info(LeaderEvent.ConfigurationApplied, {
			configuration: version,
			queues: queues.length,
		})
	}

	private jobEnded(job: JobRecord): void {
		const took = job.ended - job.submitted
		const { log, meter } = this.context
		const objective = Math.round(objectiveOf(job.request, job.queue))
		log.info(LeaderEvent.JobEnded, { job: job.id, state: job.state, took, objective })
		meter.count(Measure.JobsEnded, { state: job.state })
		meter.observe(Measure.JobTime, took, { state: job.state })
		this.steps.drop(job)
		this.runs.stopJob(job)
	}

	private forgetOld(now: number): void {
		this.forgetDue = now + FORGET_PERIOD
		const { state, proposals, timing } = this.context
		const before = epochOf(this.context) - timing.keepEnded
		const jobs: string[] = []
		for (const job of state.jobs.all()) {
			if (!isActive(job) && job.ended < before) jobs.push(job.id)
		}
		if (jobs.length > 0) proposals.propose({ kind: 'forget', jobs })
	}
}
