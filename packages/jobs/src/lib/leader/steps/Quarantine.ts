/**
 * Where tasks begin under which workers have crashed. Most of them are innocent: they shared a worker with the task that did
 * it. So none waits for an empty worker. A suspected task goes where the least work is lost if its worker crashes, and an
 * isolated one besides where all tasks of other jobs have been at work for a while and none is under suspicion; nothing of other jobs begins beside it until it has
 * lived past the moment at which it would have crashed its worker.
 *
 * Answers a cell in which a few tasks crash each worker that starts them while the rest of the work goes on.
 */
import { suspicionOf, Suspicion } from '../../state/TaskCrashes'
import type { CellState } from '../../state/CellState'
import { hasCapacity, type WorkerOption, type CapacityCheck } from './chooseWorkerForStep'
import type { StepWork } from './StepWork'
import type { WorkerView } from '../workers/WorkerView'

/**
 * Milliseconds after its beginning for which an isolated task has its worker for itself: within them a task that crashes its
 * worker has done so, and its worker has been found silent.
 */
const PROBATION_MS = 500
/** Milliseconds of work that a lasting task counts as having done: its callers wait while it begins elsewhere. */
const LASTING_WORK_MS = 10_000

interface Probation {
	readonly job: string
	readonly task: string
	/** When it ends, on the leader's clock; infinite until the run has begun. */
	readonly until: number
}

/** Runs that are decided and not yet begun. @internal */
export interface DecidedStarts {
	/** @returns the jobs that have such runs for a worker. */
	decidedFor(worker: string): readonly string[]
}

/**
 * Suspected tasks and the workers that they are on.
 *
 * @internal
 */
export class Quarantine {
	/** Isolated tasks that have begun of late, by worker. */
	private readonly probations = new Map<string, Probation>()

	constructor(
		private readonly state: CellState,
		private readonly decidedStarts: DecidedStarts
	) {}

	/** @returns how a task of a step is to be treated. */
	suspicionOf({ record }: StepWork, index: number): Suspicion {
		return suspicionOf(record.tasks[index])
	}

	/** @returns whether a task of a job may begin on a worker beside what is isolated there. */
	admits(job: string, worker: string, now: number): boolean {
		const probation = this.probations.get(worker)
		return !probation || probation.job === job || probation.until <= now
	}

	/**
	 * @param work - the step of a task under suspicion.
	 * @param index - the task.
	 * @param options - workers that may run the step.
	 * @param isFree - whether a worker's room is not kept for others.
	 * @returns the worker on which the least is lost; undefined when it has to wait.
	 */
	chooseWorker(
		work: StepWork,
		index: number,
		options: readonly WorkerOption[],
		isFree: CapacityCheck,
		now: number
	): WorkerOption | undefined {
		const isIsolated = this.suspicionOf(work, index) === Suspicion.Isolated
		// A gang's members begin together or not at all, so none of them can wait for another one.
		const needsOwnWorker = isIsolated && !work.step.gang
		const job = work.job.id
		const probationWorker = needsOwnWorker ? this.probationWorkerOf(job, now) : undefined
		let best: WorkerOption | undefined
		let least = Number.POSITIVE_INFINITY
		for (const option of options) {
			if (probationWorker !== undefined && probationWorker !== option.view.id) continue
			if (!hasCapacity(work, option) || !isFree(work, option)) continue
			if (needsOwnWorker && !this.hasOnlySettledRuns(option.view, job, now)) continue
			const loss = lossOn(option.view, job)
			if (loss >= least) continue
			least = loss
			best = option
		}
		return best
	}

	/** @returns tasks that wait and may begin, those that are under no suspicion first; of a gang all or none. */
	getStartableTasks(work: StepWork): number[] {
		const waiting = work.getWaitingTasks()
		const suspected = waiting.filter((index) => this.isSuspected(work, index))
		if (suspected.length === 0) return waiting
		const isHeld = (index: number): boolean => this.suspicionOf(work, index) === Suspicion.Held
		if (work.step.gang) return suspected.some(isHeld) ? [] : waiting
		const unsuspected = waiting.filter((index) => !suspected.includes(index))
		return [...unsuspected, ...suspected.filter((index) => !isHeld(index))]
	}

	/** @returns whether a task of a step is under suspicion. */
	isSuspected(work: StepWork, index: number): boolean {
		return this.suspicionOf(work, index) !== Suspicion.None
	}

	/** An isolated task is to begin on a worker. */
	onStartDecided(task: string, job: string, worker: string): void {
		this.probations.set(worker, { job, task, until: Number.POSITIVE_INFINITY })
	}

	/** A run has begun. */
	onRunStarted(task: string, worker: string, now: number): void {
		const probation = this.probations.get(worker)
		if (probation?.task !== task) return
		this.probations.set(worker, { ...probation, until: now + PROBATION_MS })
	}

	/** A run has ended, or will not begin. */
	onRunEnded(task: string, worker: string): void {
		if (this.probations.get(worker)?.task === task) this.probations.delete(worker)
	}

	/** The worker on which an isolated task of a job has just begun, if there is one: the others of the job wait for it. */
	private probationWorkerOf(job: string, now: number): string | undefined {
		for (const [worker, probation] of this.probations) {
			if (probation.job === job && probation.until > now) return worker
		}
		return undefined
	}

	/** Whether nothing of other jobs on a worker may crash it too: all has been at work for a while, and none is suspected. */
	private hasOnlySettledRuns(view: WorkerView, job: string, now: number): boolean {
		if (this.decidedStarts.decidedFor(view.id).some((other) => other !== job)) return false
		for (const { text, name, confirmedAt } of view.runs.values()) {
			if (name.job === job) continue
			if (confirmedAt === undefined || now - confirmedAt < PROBATION_MS) return false
			const task = this.state.jobs.locate(text)?.task
			if (task && suspicionOf(task) !== Suspicion.None) return false
		}
		return true
	}
}

/** What other jobs would lose with a worker, in thousandths of a core times milliseconds; a run that has done nothing counts a little. */
function lossOn(view: WorkerView, job: string): number {
	let loss = 0
	for (const { name, need, step, percent } of view.runs.values()) {
		if (name.job === job) continue
		const work = step.lasting ? LASTING_WORK_MS : (step.expectedTime * percent) / 100
		loss += need.cpu * (work + 1)
	}
	return loss
}
