/** The jobs of a cell and the runs of their tasks. */
import type { RunStart, RunOutcome, CrashFindings, RunRef } from '../commands/CellCommand'
import { placeOf, type Queue } from '../records/Cell'
import { countTasks } from '../records/checkJob'
import { withWholeNeeds } from '../records/withWholeNeeds'
import { formatTaskName, JobState, parseTaskName, RunEnd, type TaskName } from '../records/Job'
import type { Change } from './Change'
import {
	isActive,
	isStepDone,
	newJobRecord,
	TaskStatus,
	type JobRecord,
	type StepRecord,
	type Submission,
	type TaskRecord,
} from './JobRecord'
import { SilentWorkerIndex, type UndecidedWorker } from './SilentWorkerIndex'
import {
	CrashEvidence,
	clearCrashes,
	countedCrashesOf,
	presumeCrashed,
	removeSilentWorker,
	addCrash,
	addSilentWorker,
	Suspicion,
	suspicionOf,
} from './TaskCrashes'

/** Most abandoned attempts remembered per task. */
const MAX_LOST_ATTEMPTS = 16

/** A task with its name, job and step. @public */
export interface LocatedTask {
	readonly name: TaskName
	readonly job: JobRecord
	readonly step: StepRecord
	readonly task: TaskRecord
}

/**
 * The jobs of a cell, with an index of the tasks placed on each worker.
 *
 * @public
 */
export class JobTable {
	private readonly jobs = new Map<string, JobRecord>()
	/** Names of the tasks placed on each worker, by worker id. */
	private readonly placedByWorker = new Map<string, Set<string>>()
	private readonly silentWorkers = new SilentWorkerIndex()

	private tasks = 0

	/** @param report - called with each change, in order. */
	constructor(private readonly report: (change: Change) => void = () => undefined) {}

	/** All jobs, the oldest first. */
	all(): IterableIterator<JobRecord> {
		return this.jobs.values()
	}

	/** Number of jobs. */
	get size(): number {
		return this.jobs.size
	}

	/** Number of tasks of all jobs. */
	get taskCount(): number {
		return this.tasks
	}

	/** @returns a job by its id. */
	find(id: string): JobRecord | undefined {
		return this.jobs.get(id)
	}

	/** @returns the names of the tasks placed on a worker. */
	placedOn(worker: string): ReadonlySet<string> {
		return this.placedByWorker.get(worker) ?? new Set()
	}

	/**
	 * @returns whether runs on a worker were abandoned while it was unreachable and its fate is not
	 * recorded yet.
	 */
	hasUnresolvedRuns(worker: string): boolean {
		return this.silentWorkers.has(worker)
	}

	/**
	 * The unreachable workers on which runs of tasks were abandoned that do not count as crashed yet.
	 */
	get undecidedWorkers(): readonly UndecidedWorker[] {
		return [...this.silentWorkers.undecidedWorkers()]
	}

	/** @returns a task by its name in text form; undefined when there is none. */
	locate(text: string): LocatedTask | undefined {
		const name = parseTaskName(text)
		const job = name && this.jobs.get(name.job)
		if (!name || !job) return undefined
		const step = job.repeats[name.repeat]?.[name.step]
		const task = step?.tasks[name.index]
		return step && task ? { name, job, step, task } : undefined
	}

	/** Adds an accepted job; a known id changes nothing. */
	submit(submission: Submission): void {
		if (this.jobs.has(submission.id)) return
		const record = this.add(newJobRecord(submission))
		this.report({ kind: 'job-accepted', job: record })
	}

	/** Applies a new configuration to the jobs that have not ended. */
	configure(queues: readonly Queue[]): void {
		const byPlace = new Map(queues.map((queue) => [placeOf(queue), queue]))
		for (const job of this.jobs.values()) {
			const queue = isActive(job) ? byPlace.get(placeOf(job.queue)) : undefined
			if (queue) job.queue = withAttempts(queue, job.queue.maxAttempts)
		}
	}

	/** Cancels a job that has not ended. */
	cancel(id: string, at: number): void {
		const job = this.jobs.get(id)
		if (job && isActive(job)) this.endJob(job, JobState.Cancelled, at)
	}

	/** @returns whether a task may still start under an attempt number. */
	canStart({ task: text, attempt }: RunStart): boolean {
		const located = this.locate(text)
		if (!located || !isActive(located.job)) return false
		const { task } = located
		return task.status === TaskStatus.Waiting && attempt > task.attempt
	}

	/** Starts a run; reports it as void if the task may not start any more. */
	start(run: RunStart): void {
		const { task: text, attempt, worker } = run
		const located = this.locate(text)
		if (!located) return
		if (!this.canStart(run)) return this.reportVoid(run)
		const { name, job, task } = located
		task.status = TaskStatus.Placed
		task.attempt = attempt
		task.worker = worker
		job.state = JobState.Running
		this.placedSetOf(worker).add(text)
		this.report({ kind: 'run-begun', task: name, attempt, worker })
	}

	/** Reports that a committed run does not start. */
	reportVoid({ task: text, attempt, worker }: RunStart): void {
		const located = this.locate(text)
		if (located) this.report({ kind: 'run-void', task: located.name, attempt, worker })
	}

	/** Records the end of a run. */
	end(run: RunOutcome, at: number): void {
		const located = this.locate(run.task)
		if (!located) return
		const { job, task } = located
		if (isListedEnd(run.how)) job.begun = true
		const isCurrent = task.status === TaskStatus.Placed && task.attempt === run.attempt
		if (!isCurrent) return this.endLost(located, run, at)
		if (run.evidence) {
			const since = run.unreachableSince ?? at
			this.recordSilent(located, run.task, { evidence: run.evidence, since })
		}
		this.endCurrent(located, run, at)
	}

	/**
	 * Ends all runs on a worker that has ended.
	 *
	 * @param crash - evidence against the tasks that ran there; undefined when the worker announced
	 * its end.
	 */
	endAllOn(worker: string, at: number, crash?: CrashFindings): void {
		for (const text of this.silentWorkers.take(worker))
			this.resolveSilent(text, worker, at, crash !== undefined)
		for (const text of [...this.placedOn(worker)]) {
			const located = this.locate(text)
			if (!located) continue
			const evidence = crash?.[text]
			if (evidence) this.countCrash(located, worker, evidence)
			const { attempt } = located.task
			this.endCurrent(located, { task: text, attempt, how: RunEnd.Lost, checkpoint: '' }, at)
		}
		this.placedByWorker.delete(worker)
	}

	/**
	 * An unreachable worker answers again: none of the tasks whose runs on it were abandoned has
	 * crashed it.
	 */
	onWorkerAnswered(worker: string): void {
		for (const text of this.silentWorkers.take(worker)) {
			const located = this.locate(text)
			if (!located) continue
			removeSilentWorker(located.task, worker)
			this.report({ kind: 'task-cleared', task: located.name })
		}
	}

	/**
	 * Counts an unreachable worker as crashed by the tasks whose runs on it were abandoned, until it
	 * answers.
	 */
	presumeCrashed(worker: string, at: number): void {
		this.silentWorkers.decide(worker)
		for (const text of this.silentWorkers.tasksOf(worker)) {
			const located = this.locate(text)
			if (!located || !presumeCrashed(located.task, worker)) continue
			this.reportCrash(located, worker)
			this.endIfFinished(located, at)
			this.report({ kind: 'task-cleared', task: located.name })
		}
	}

	/** Drops the crashes counted against tasks that have been at work for long without harm. */
	clearCrashes(tasks: readonly string[]): void {
		for (const text of tasks) {
			const located = this.locate(text)
			if (!located) continue
			for (const worker of clearCrashes(located.task)) this.silentWorkers.remove(worker, text)
		}
	}

	/**
	 * Records that a run was at work after its start: it is unlikely to be the cause if its worker
	 * crashes later.
	 */
	recordAtWork({ task: text, attempt }: RunRef): void {
		const task = this.locate(text)?.task
		if (task?.status === TaskStatus.Placed && task.attempt === attempt) task.seenAtWork = attempt
	}

	/** Records that workers have started a task of each of these jobs. */
	recordBegun(ids: readonly string[]): void {
		for (const id of ids) {
			const job = this.jobs.get(id)
			if (job) job.begun = true
		}
	}

	/** Removes jobs that have ended. */
	forget(ids: readonly string[]): void {
		for (const id of ids) {
			const job = this.jobs.get(id)
			if (!job) continue
			this.tasks -= countTasks(job.request)
			this.silentWorkers.removeJob(job)
			this.jobs.delete(id)
		}
	}

	/** @returns the content for a snapshot. */
	snapshot(): readonly JobRecord[] {
		return [...this.jobs.values()]
	}

	/** Replaces the content by that of a snapshot. */
	restore(jobs: readonly JobRecord[]): void {
		this.jobs.clear()
		this.placedByWorker.clear()
		this.silentWorkers.clear()
		this.tasks = 0
		for (const job of jobs) {
			this.add(job)
			for (const { text, task } of tasksOf(job)) {
				if (task.status === TaskStatus.Placed) this.placedSetOf(task.worker).add(text)
				for (const lost of task.silent ?? []) this.silentWorkers.add(lost, text)
			}
		}
	}

	/** Adds a job; earlier versions have recorded needs that are no whole numbers. */
	private add(recorded: JobRecord): JobRecord {
		const job = { ...recorded, request: withWholeNeeds(recorded.request) }
		this.jobs.set(job.id, job)
		this.tasks += countTasks(job.request)
		return job
	}

	private endCurrent(located: LocatedTask, run: RunOutcome, at: number): void {
		const { name, job, task } = located
		const { worker } = task
		this.placedByWorker.get(worker)?.delete(run.task)
		task.worker = ''
		task.status = TaskStatus.Waiting
		if (run.checkpoint !== '') task.checkpoint = run.checkpoint
		if (run.how === RunEnd.Lost) rememberLost(task, run.attempt)
		const isDone = run.how === RunEnd.Done || task.finished || located.step.gangDone
		if (isDone) markRunDone(located)
		else if (run.how === RunEnd.Failed) countFailure(located, run.attempt)
		this.report({ kind: 'run-ended', task: name, attempt: run.attempt, worker, how: run.how })
		this.endIfFinished(located, at)
		if (!isActive(job)) task.checkpoint = ''
	}

	/**
	 * Records that a run was abandoned on an unreachable worker, which may turn out to have crashed.
	 */
	private recordSilent(
		{ task }: LocatedTask,
		text: string,
		loss: { readonly evidence: CrashEvidence; readonly since: number }
	): void {
		const lost = { worker: task.worker, ...loss }
		addSilentWorker(task, lost)
		this.silentWorkers.add(lost, text)
	}

	private countCrash(located: LocatedTask, worker: string, evidence: CrashEvidence): void {
		const { task } = located
		const isCounted = countedCrashesOf(task).some((lost) => lost.worker === worker)
		addCrash(task, worker, evidence)
		if (!isCounted) this.reportCrash(located, worker)
	}

	private reportCrash({ name, task }: LocatedTask, worker: string): void {
		this.report({ kind: 'crash-counted', task: name, worker, crashed: countedCrashesOf(task) })
	}

	/** Updates a task once the fate of a worker is known on which a run of it was abandoned. */
	private resolveSilent(text: string, worker: string, at: number, crashed: boolean): void {
		const located = this.locate(text)
		if (!located) return
		// The evidence recorded when the run was abandoned takes precedence over this one.
		if (crashed) this.countCrash(located, worker, CrashEvidence.Weak)
		else removeSilentWorker(located.task, worker)
		this.endIfFinished(located, at)
		this.report({ kind: 'task-cleared', task: located.name })
	}

	/**
	 * Records the reported end of an abandoned run: a failure counts, and so does a run that is done.
	 */
	private endLost(located: LocatedTask, run: RunOutcome, at: number): void {
		const { name, task } = located
		if (!task.lost?.includes(run.attempt)) return
		task.lost = task.lost.filter((attempt) => attempt !== run.attempt)
		if (run.how === RunEnd.Failed) countFailure(located, run.attempt)
		if (run.how === RunEnd.Done && task.status !== TaskStatus.Done) {
			if (task.status === TaskStatus.Waiting) markRunDone(located)
			else task.finished = true
			this.report({ kind: 'task-done', task: name })
		}
		this.endIfFinished(located, at)
	}

	/**
	 * Ends the job once all its tasks are done, or one has failed too often or crashes its workers.
	 */
	private endIfFinished({ name, job, step, task }: LocatedTask, at: number): void {
		if (!isActive(job)) return
		const { gang } = job.request.steps[name.step]
		const failures = gang ? step.gangFailures.length : task.failures
		const isCrashProven = suspicionOf(task) === Suspicion.Proven
		if (failures >= job.queue.maxAttempts || isCrashProven) this.endJob(job, JobState.Failed, at)
		else if (job.repeats.every((steps) => steps.every(isStepDone))) {
			this.endJob(job, JobState.Completed, at)
		}
	}

	private endJob(job: JobRecord, state: JobState, at: number): void {
		job.state = state
		job.ended = at
		this.report({ kind: 'job-ended', job })
	}

	private placedSetOf(worker: string): Set<string> {
		let set = this.placedByWorker.get(worker)
		if (!set) {
			set = new Set()
			this.placedByWorker.set(worker, set)
		}
		return set
	}
}

function withAttempts(queue: Queue, maxAttempts: number): Queue {
	return queue.maxAttempts === maxAttempts ? queue : { ...queue, maxAttempts }
}

/** Whether a run ended on its worker, which had started it then. */
function isListedEnd(how: RunEnd): boolean {
	return how !== RunEnd.Lost && how !== RunEnd.Refused
}

/**
 * Marks a task as done; for a gang, all members, of which those still running are done once they
 * end.
 */
function markRunDone({ name, job, step, task }: LocatedTask): void {
	const { gang, lasting } = job.request.steps[name.step]
	if (lasting) return
	if (gang) step.gangDone = true
	for (const ended of gang ? step.tasks : [task]) markDone(step, ended)
}

function markDone(step: StepRecord, task: TaskRecord): void {
	if (task.status !== TaskStatus.Waiting) return
	task.status = TaskStatus.Done
	task.checkpoint = ''
	step.done += 1
}

/** Counts a failure; lasting tasks are restarted however often they fail. */
function countFailure({ name, job, step, task }: LocatedTask, attempt: number): void {
	const { gang, lasting } = job.request.steps[name.step]
	if (lasting) return
	task.failures += 1
	if (gang && !step.gangFailures.includes(attempt)) step.gangFailures.push(attempt)
}

function rememberLost(task: TaskRecord, attempt: number): void {
	task.lost = [...(task.lost ?? []), attempt].slice(-MAX_LOST_ATTEMPTS)
}

/** @returns every task of a job with its name in text form. @public */
export function* tasksOf(job: JobRecord): Generator<{ text: string; task: TaskRecord }> {
	for (let repeat = 0; repeat < job.repeats.length; repeat++) {
		for (let step = 0; step < job.repeats[repeat].length; step++) {
			const { tasks } = job.repeats[repeat][step]
			for (let index = 0; index < tasks.length; index++) {
				const text = formatTaskName({ job: job.id, repeat, step, index })
				yield { text, task: tasks[index] }
			}
		}
	}
}
