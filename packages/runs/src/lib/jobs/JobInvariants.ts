/**
 * Observes all actions of the workers of a run and throws as soon as a rule of jobs is broken. It
 * knows only the submitted jobs and the actions of the workers, never the state of the controller.
 */
import { parseTaskName, RunEnd, type JobRequest, type Queue, type Step } from '@rillrudder/jobs'
import { fits, NO_RESOURCES, plus, type Resources } from '@rillrudder/scheduler'
import { invariant } from '@rillrudder/utils'

/** Time after an acknowledged cancellation from which no task of the job may start. */
const CANCEL_DEADLINE_MS = 3000
/** Time after the acknowledged end of a task from which no further copy of it may start. */
const DONE_NOTICE_MS = 1000

/** A run of a task as its worker sees it. @internal */
export interface ObservedRun {
	readonly worker: string
	readonly task: string
	readonly attempt: number
	readonly checkpoint: string
	/** Whether its order was carried out seconds after it was sent. */
	readonly isLate: boolean
}

interface ObservedEnd {
	readonly worker: string
	readonly attempt: number
	readonly how: RunEnd
	isAcknowledged: boolean
	/**
	 * Whether the worker's lease expired before the end was acknowledged: the end does not count.
	 */
	isVoid: boolean
}

interface ObservedStep {
	readonly step: Step
	/** Checkpoints that its tasks have made. */
	readonly checkpoints: Set<string>
}

interface ObservedTask {
	readonly live: Map<string, ObservedRun>
	readonly ends: ObservedEnd[]
	/** For each start, the number of ends before it. */
	readonly endsBeforeStarts: number[]
	doneAcknowledgedAt?: number
}

interface ObservedJob {
	readonly request: JobRequest
	readonly queue: Queue
	readonly steps: ReadonlyMap<string, ObservedStep>
	cancelledAt?: number
	/** Whether a worker has started one of its tasks. */
	hasBegun?: true
	/** When it last lost a run by the crash of a worker. */
	lostRunAt?: number
}

/** The properties of a worker that the rules check. @internal */
export interface ObservedWorker {
	readonly id: string
	readonly service: string
	readonly labels: readonly string[]
	readonly capacity: Resources
}

/** Observes the runs on the workers. @internal */
export interface RunObserver {
	/** Called when a worker has started a run. */
	onRunStarted(worker: string, run: ObservedRun, now: number): void
	/** Called when a run has ended for any reason. */
	onRunEnded(worker: string, task: string): void
}

/**
 * Checks the rules of jobs.
 *
 * @internal
 */
export class JobInvariants {
	private readonly jobs = new Map<string, ObservedJob>()
	private readonly tasks = new Map<string, ObservedTask>()
	/** Names of the running tasks, by worker. */
	private readonly tasksByWorker = new Map<string, Set<string>>()
	starts = 0

	/** @param observer - is notified of starts and ends of runs, if present. */
	constructor(private readonly observer?: RunObserver) {}

	/** Handles the submission of a job, which may not have been accepted yet. */
	onJobSubmitted(id: string, request: JobRequest, queue: Queue): void {
		const steps = new Map<string, ObservedStep>()
		const repeats = request.repeat?.count ?? 1
		for (let repeat = 0; repeat < repeats; repeat++) {
			request.steps.forEach((step, number) => {
				steps.set(`${repeat}.${number}`, { step, checkpoints: new Set() })
			})
		}
		this.jobs.set(id, { request, queue, steps })
	}

	/** Handles the acknowledgement of a cancellation to the client. */
	onJobCancelled(id: string, now: number): void {
		const job = this.jobs.get(id)
		if (job) job.cancelledAt ??= now
	}

	/** Checks the start of a run on a worker. @throws InvariantBroken when a rule is broken. */
	onRunStarted(worker: ObservedWorker, run: ObservedRun, spec: string, now: number): void {
		const { task: text } = run
		const { job, step, name } = this.locate(text)
		const task = this.taskOf(text)
		const where = { worker: worker.id, task: text, attempt: run.attempt }
		this.starts += 1
		job.hasBegun = true
		invariant(job.request.spec === spec, 'a task begins with its own text', where)
		const known = run.checkpoint === '' || step.checkpoints.has(run.checkpoint)
		invariant(known, 'a task goes on from its own checkpoint', where)
		invariant(job.queue.service === worker.service, 'a task runs in its service', where)
		const labelled = step.step.requires === '' || worker.labels.includes(step.step.requires)
		invariant(labelled, 'a worker has the label that its task asks for', where)
		this.checkPredecessors(job, name, where)
		if (!step.step.copies) this.checkSingleRun(task, where)
		this.checkNotDone(task, step.step, run, now, where)
		this.checkNotCancelled(job, run, now, where)
		task.endsBeforeStarts.push(task.ends.length)
		this.checkAttempts(task, job, step.step, where)
		task.live.set(worker.id, run)
		this.tasksOn(worker.id).add(text)
		this.checkCapacity(worker, where)
		this.checkSpread(worker, text, step.step, where)
		this.observer?.onRunStarted(worker.id, run, now)
	}

	/** Handles a checkpoint of a running task. */
	onCheckpoint(text: string, checkpoint: string): void {
		this.locate(text).step.checkpoints.add(checkpoint)
	}

	/** Handles the end of a run that its worker lists. */
	onRunEnded(worker: string, text: string, attempt: number, how: RunEnd): void {
		const task = this.taskOf(text)
		task.live.delete(worker)
		this.tasksOn(worker).delete(text)
		task.ends.push({ worker, attempt, how, isAcknowledged: false, isVoid: false })
		this.observer?.onRunEnded(worker, text)
	}

	/** Handles the end of a worker with all its runs. */
	onWorkerDied(worker: string, now: number): void {
		for (const text of this.tasksOn(worker)) {
			this.taskOf(text).live.delete(worker)
			this.locate(text).job.lostRunAt = now
			this.observer?.onRunEnded(worker, text)
		}
		this.tasksByWorker.delete(worker)
	}

	/**
	 * Handles the expiry of a worker's lease: ends that were not acknowledged before do not count.
	 */
	onLeaseExpired(worker: string, tasks: Iterable<string>): void {
		for (const text of tasks) {
			for (const end of this.taskOf(text).ends) {
				if (end.worker === worker && !end.isAcknowledged) end.isVoid = true
			}
		}
	}

	/**
	 * Handles the acknowledgement of an end to its worker.
	 * @throws InvariantBroken when a rule is broken.
	 */
	onEndAcknowledged(worker: string, text: string, attempt: number, now: number): void {
		const { job, step } = this.locate(text)
		const task = this.taskOf(text)
		const end = task.ends.find((one) => one.worker === worker && one.attempt === attempt)
		if (!end || end.isAcknowledged || end.isVoid) return
		end.isAcknowledged = true
		const where = { worker, task: text, attempt }
		if (end.how === RunEnd.Done) {
			task.doneAcknowledgedAt ??= now
			const again = task.endsBeforeStarts.some((before) => before > task.ends.indexOf(end))
			const once = !again || step.step.copies || step.step.lasting
			invariant(once, 'a task that is done does not begin again', where)
		}
		if (end.how === RunEnd.Failed) this.checkAttempts(task, job, step.step, where)
	}

	/** @returns whether a task has completed on some worker; a gang is done once one member is. */
	isDone(text: string): boolean {
		const { job, step, name } = this.locate(text)
		if (!step.step.gang) return this.hasDone(text)
		return this.namesOf(job, name.job, name.repeat, name.step).some((one) => this.hasDone(one))
	}

	/**
	 * @returns whether the leader has acknowledged that a task is done; a gang is done once one member
	 * is, and a lasting task never is.
	 */
	isDoneForGood(text: string): boolean {
		const { job, step, name } = this.locate(text)
		if (step.step.lasting) return false
		const isKnown = (one: string): boolean => this.taskOf(one).doneAcknowledgedAt !== undefined
		if (!step.step.gang) return isKnown(text)
		return this.namesOf(job, name.job, name.repeat, name.step).some(isKnown)
	}

	/** @returns whether a worker has started a task of a job. */
	hasBegun(id: string): boolean {
		return this.jobs.get(id)?.hasBegun === true
	}

	/** @returns when a job last lost a run by the crash of a worker. */
	lastLossAt(id: string): number {
		return this.jobs.get(id)?.lostRunAt ?? Number.NEGATIVE_INFINITY
	}

	/** @returns whether a task has failed often enough to fail its job. */
	hasFailed(text: string): boolean {
		const { job } = this.locate(text)
		const failed = this.taskOf(text).ends.filter((end) => end.how === RunEnd.Failed)
		return failed.length >= job.queue.maxAttempts
	}

	/** @returns the number of current runs of a task. */
	liveRuns(text: string): number {
		return this.taskOf(text).live.size
	}

	private hasDone(text: string): boolean {
		return this.taskOf(text).ends.some((end) => end.how === RunEnd.Done)
	}

	private checkPredecessors(job: ObservedJob, name: TaskAddress, where: ErrorFields): void {
		const { dependsOn } = job.request.steps[name.step]
		const done = dependsOn.every((earlier) =>
			this.namesOf(job, name.job, name.repeat, earlier).every((text) => this.isDone(text))
		)
		invariant(done, 'a step begins once the steps before it are done', where)
	}

	private checkSingleRun(task: ObservedTask, where: ErrorFields): void {
		invariant(task.live.size === 0, 'a task runs once at a time', {
			...where,
			others: [...task.live.keys()].join(),
		})
	}

	private checkNotDone(
		task: ObservedTask,
		step: Step,
		run: ObservedRun,
		now: number,
		where: ErrorFields
	): void {
		if (step.lasting || task.doneAcknowledgedAt === undefined) return
		const allowed = step.copies && (run.isLate || now - task.doneAcknowledgedAt <= DONE_NOTICE_MS)
		invariant(allowed, 'a task that is done does not begin again', where)
	}

	private checkNotCancelled(
		job: ObservedJob,
		run: ObservedRun,
		now: number,
		where: ErrorFields
	): void {
		const since = job.cancelledAt === undefined ? 0 : now - job.cancelledAt
		invariant(run.isLate || since <= CANCEL_DEADLINE_MS, 'nothing of a cancelled job begins', where)
	}

	/** Checks that no start follows as many acknowledged failures as the queue allows attempts. */
	private checkAttempts(
		task: ObservedTask,
		job: ObservedJob,
		step: Step,
		where: ErrorFields
	): void {
		if (step.lasting || step.copies || step.gang) return
		for (const before of task.endsBeforeStarts) {
			const failed = task.ends
				.slice(0, before)
				.filter((end) => end.isAcknowledged && end.how === RunEnd.Failed)
			const within = failed.length < job.queue.maxAttempts
			invariant(within, 'a task begins no more often than its queue allows', where)
		}
	}

	private checkCapacity(worker: ObservedWorker, where: ErrorFields): void {
		let taken = NO_RESOURCES
		for (const text of this.tasksOn(worker.id)) {
			const { need, bestEffort } = this.locate(text).step.step
			taken = plus(taken, bestEffort ? { ...need, cpu: 0 } : need)
		}
		invariant(fits(taken, worker.capacity), 'no worker is given more than it has', where)
	}

	private checkSpread(worker: ObservedWorker, text: string, step: Step, where: ErrorFields): void {
		if (step.mostPerWorker === 0) return
		const prefix = text.slice(0, text.lastIndexOf('.') + 1)
		const siblings = [...this.tasksOn(worker.id)].filter((other) => other.startsWith(prefix))
		invariant(siblings.length <= step.mostPerWorker, "a step's tasks are kept apart", where)
	}

	private namesOf(job: ObservedJob, id: string, repeat: number, step: number): string[] {
		const { count } = job.request.steps[step]
		return Array.from({ length: count }, (_, index) => `${id}.${repeat}.${step}.${index}`)
	}

	private tasksOn(worker: string): Set<string> {
		let runs = this.tasksByWorker.get(worker)
		if (!runs) {
			runs = new Set()
			this.tasksByWorker.set(worker, runs)
		}
		return runs
	}

	private taskOf(text: string): ObservedTask {
		let task = this.tasks.get(text)
		if (!task) {
			task = { live: new Map(), ends: [], endsBeforeStarts: [] }
			this.tasks.set(text, task)
		}
		return task
	}

	private locate(text: string): { job: ObservedJob; step: ObservedStep; name: TaskAddress } {
		const name = parseTaskName(text)
		const job = name && this.jobs.get(name.job)
		const step = name && job?.steps.get(`${name.repeat}.${name.step}`)
		const known = name !== undefined && job !== undefined && step !== undefined
		invariant(known, 'only what a client asked for begins', { task: text })
		return { job, step, name }
	}
}

/** Fields that locate an error. */
type ErrorFields = Record<string, unknown>
type TaskAddress = NonNullable<ReturnType<typeof parseTaskName>>
