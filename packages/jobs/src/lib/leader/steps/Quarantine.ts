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
const PROBATION = 500
/** Milliseconds of work that a lasting task counts as having done: its callers wait while it begins elsewhere. */
const LASTING_WORK = 10_000

interface Probation {
	readonly job: string
	readonly task: string
	/** When it ends, on the leader's clock; infinite until the run has begun. */
	readonly until: number
}

/** Runs that are decided and not yet begun. @internal */
export interface Decisions {
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
		private readonly decisions: Decisions
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
	choose(
		work: StepWork,
		index: number,
		options: readonly WorkerOption[],
		isFree: CapacityCheck,
		now: number
	): WorkerOption | undefined {
		const isolated = this.suspicionOf(work, index) === Suspicion.Isolated
		// A gang's members begin together or not at all, so none of them can wait for another one.
		const alone = isolated && !work.step.gang
		const job = work.job.id
		const elsewhere = alone ? this.workerOf(job, now) : undefined
		let best: WorkerOption | undefined
		let least = Number.POSITIVE_INFINITY
		for (const option of options) {
			if (elsewhere !== undefined && elsewhere !== option.view.id) continue
			if (!hasCapacity(work, option) || !isFree(work, option)) continue
			if (alone && !this.isSettled(option.view, job, now)) continue
			const loss = lossOn(option.view, job)
			if (loss >= least) continue
			least = loss
			best = option
		}
		return best
	}

	/** @returns tasks that wait and may begin, those that are under no suspicion first; of a gang all or none. */
	mayBegin(work: StepWork): number[] {
		const waiting = work.getWaitingTasks()
		const doubtful = waiting.filter((index) => this.isDoubtful(work, index))
		if (doubtful.length === 0) return waiting
		const held = (index: number): boolean => this.suspicionOf(work, index) === Suspicion.Held
		if (work.step.gang) return doubtful.some(held) ? [] : waiting
		const plain = waiting.filter((index) => !doubtful.includes(index))
		return [...plain, ...doubtful.filter((index) => !held(index))]
	}

	/** @returns whether a task of a step is under suspicion. */
	isDoubtful(work: StepWork, index: number): boolean {
		return this.suspicionOf(work, index) !== Suspicion.None
	}

	/** An isolated task is to begin on a worker. */
	decided(task: string, job: string, worker: string): void {
		this.probations.set(worker, { job, task, until: Number.POSITIVE_INFINITY })
	}

	/** A run has begun. */
	begun(task: string, worker: string, now: number): void {
		const probation = this.probations.get(worker)
		if (probation?.task !== task) return
		this.probations.set(worker, { ...probation, until: now + PROBATION })
	}

	/** A run has ended, or will not begin. */
	ended(task: string, worker: string): void {
		if (this.probations.get(worker)?.task === task) this.probations.delete(worker)
	}

	/** The worker on which an isolated task of a job has just begun, if there is one: the others of the job wait for it. */
	private workerOf(job: string, now: number): string | undefined {
		for (const [worker, probation] of this.probations) {
			if (probation.job === job && probation.until > now) return worker
		}
		return undefined
	}

	/** Whether nothing of other jobs on a worker may crash it too: all has been at work for a while, and none is suspected. */
	private isSettled(view: WorkerView, job: string, now: number): boolean {
		if (this.decisions.decidedFor(view.id).some((other) => other !== job)) return false
		for (const { text, name, confirmedAt } of view.runs.values()) {
			if (name.job === job) continue
			if (confirmedAt === undefined || now - confirmedAt < PROBATION) return false
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
		const work = step.lasting ? LASTING_WORK : (step.expectedTime * percent) / 100
		loss += need.cpu * (work + 1)
	}
	return loss
}
