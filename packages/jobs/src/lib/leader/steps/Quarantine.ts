/**
 * Decides where tasks start that were running on workers when these crashed. Most of them are
 * innocent: they merely shared the worker with the task that crashed it. So none of them waits for
 * an empty worker. A suspected task goes where the least work is lost if its worker crashes. An
 * isolated task needs, besides, a worker on which all tasks of other jobs have been running for a
 * while, preferably one on which none of them is suspected; no task of another job starts beside it
 * until it has outlived the time in which it would have crashed its worker.
 *
 * This keeps a cell working in which a few tasks crash every worker that starts them.
 */
import { suspicionOf, Suspicion } from '../../state/TaskCrashes'
import type { CellState } from '../../state/CellState'
import { hasCapacity, type WorkerOption, type CapacityCheck } from './chooseWorkerForStep'
import type { StepWork } from './StepWork'
import type { WorkerView } from '../workers/WorkerView'

/**
 * Milliseconds after its start for which an isolated task has its worker to itself. By then a
 * crashing task has crashed its worker, and the worker was found unreachable.
 */
const PROBATION_MS = 500
/**
 * Milliseconds of work that a lasting task counts as having done, since its callers wait while it
 * starts elsewhere.
 */
const LASTING_WORK_MS = 10_000

interface Probation {
	readonly job: string
	readonly task: string
	/** When it ends, on the leader's clock; infinite until the run has started. */
	readonly until: number
}

/** Runs whose start is decided but not yet committed. @internal */
export interface DecidedStarts {
	/** @returns the jobs that have such runs on a worker. */
	decidedFor(worker: string): readonly string[]
}

/**
 * Tracks suspected tasks and chooses workers for them.
 *
 * @internal
 */
export class Quarantine {
	/** Isolated tasks that have recently started, by worker id. */
	private readonly probations = new Map<string, Probation>()

	constructor(
		private readonly state: CellState,
		private readonly decidedStarts: DecidedStarts
	) {}

	/** @returns how strongly a task of a step is suspected. */
	suspicionOf({ record }: StepWork, index: number): Suspicion {
		return suspicionOf(record.tasks[index])
	}

	/** @returns whether a task of a job may start on a worker beside an isolated task there. */
	admits(job: string, worker: string, now: number): boolean {
		const probation = this.probations.get(worker)
		return !probation || probation.job === job || probation.until <= now
	}

	/**
	 * Chooses the worker for a suspected task.
	 *
	 * @param work - the step of the task.
	 * @param index - index of the task.
	 * @param options - workers that may run the step.
	 * @param isFree - whether a worker has capacity that is not reserved for others.
	 * @param now - the current time, on the leader's clock.
	 * @returns the worker on which a crash would lose the least work; undefined if the task has to
	 * wait.
	 */
	chooseWorker(
		work: StepWork,
		index: number,
		options: readonly WorkerOption[],
		isFree: CapacityCheck,
		now: number
	): WorkerOption | undefined {
		// Members of a gang start together or not at all, so none of them can wait for another one.
		const needsOwnWorker = this.isIsolated(work, index) && !work.step.gang
		const job = work.job.id
		const probationWorker = needsOwnWorker ? this.probationWorkerOf(job, now) : undefined
		const admitting = options.filter((option) => {
			if (probationWorker !== undefined && probationWorker !== option.view.id) return false
			if (!hasCapacity(work, option) || !isFree(work, option)) return false
			return !needsOwnWorker || this.hasOnlySettledRuns(option.view, job, now)
		})
		if (!needsOwnWorker) return leastLossAmong(work, admitting)
		// Suspected runs may last for hours, and one that has settled is unlikely to crash its worker.
		const unsuspected = admitting.filter(({ view }) => !this.hasSuspectedRun(view, job))
		return leastLossAmong(work, unsuspected) ?? leastLossAmong(work, admitting)
	}

	/**
	 * @returns indexes of waiting tasks that may start, unsuspected ones first and isolated ones
	 * last; all or none for a gang. A worker that admits a task admits those before it too, so if
	 * one cannot be placed, none after it can.
	 */
	getStartableTasks(work: StepWork): number[] {
		const waiting = work.getWaitingTasks()
		const suspected = waiting.filter((index) => this.isSuspected(work, index))
		if (suspected.length === 0) return waiting
		const isHeld = (index: number): boolean => this.suspicionOf(work, index) === Suspicion.Held
		if (work.step.gang) return suspected.some(isHeld) ? [] : waiting
		const unsuspected = waiting.filter((index) => !suspected.includes(index))
		const startable = suspected.filter((index) => !isHeld(index))
		const isolated = startable.filter((index) => this.isIsolated(work, index))
		const others = startable.filter((index) => !this.isIsolated(work, index))
		return [...unsuspected, ...others, ...isolated]
	}

	/** @returns whether a task of a step is suspected. */
	isSuspected(work: StepWork, index: number): boolean {
		return this.suspicionOf(work, index) !== Suspicion.None
	}

	/** @returns whether a task of a step is isolated. */
	isIsolated(work: StepWork, index: number): boolean {
		return this.suspicionOf(work, index) === Suspicion.Isolated
	}

	/** Records that the start of an isolated task on a worker is decided. */
	onStartDecided(task: string, job: string, worker: string): void {
		this.probations.set(worker, { job, task, until: Number.POSITIVE_INFINITY })
	}

	/** Records that a run has started. */
	onRunStarted(task: string, worker: string, now: number): void {
		const probation = this.probations.get(worker)
		if (probation?.task !== task) return
		this.probations.set(worker, { ...probation, until: now + PROBATION_MS })
	}

	/** Records that a run has ended or will not start. */
	onRunEnded(task: string, worker: string): void {
		if (this.probations.get(worker)?.task === task) this.probations.delete(worker)
	}

	/**
	 * @returns the worker on which an isolated task of the job is on probation, if any: other
	 * isolated tasks of the job start only there.
	 */
	private probationWorkerOf(job: string, now: number): string | undefined {
		for (const [worker, probation] of this.probations) {
			if (probation.job === job && probation.until > now) return worker
		}
		return undefined
	}

	/**
	 * Whether every run of other jobs on a worker has been running for a while, so that none of them
	 * is likely to crash it.
	 */
	private hasOnlySettledRuns(view: WorkerView, job: string, now: number): boolean {
		if (this.decidedStarts.decidedFor(view.id).some((other) => other !== job)) return false
		for (const { name, confirmedAt } of view.runs.values()) {
			if (name.job === job) continue
			if (confirmedAt === undefined || now - confirmedAt < PROBATION_MS) return false
		}
		return true
	}

	/** Whether a run of another job on a worker is suspected. */
	private hasSuspectedRun(view: WorkerView, job: string): boolean {
		for (const { taskId, name } of view.runs.values()) {
			if (name.job === job) continue
			const task = this.state.jobs.locate(taskId)?.task
			if (task && suspicionOf(task) !== Suspicion.None) return true
		}
		return false
	}
}

/**
 * @returns the worker on which a crash would lose the least work, of those that failed the fewest
 * runs of the step; undefined if there is none.
 */
function leastLossAmong(
	work: StepWork,
	options: readonly WorkerOption[]
): WorkerOption | undefined {
	let best: WorkerOption | undefined
	let fewest = Number.POSITIVE_INFINITY
	let least = Number.POSITIVE_INFINITY
	for (const option of options) {
		const failures = work.failureCountByWorker.get(option.view.id) ?? 0
		if (failures > fewest) continue
		const loss = lossOn(option.view, work.job.id)
		if (failures === fewest && loss >= least) continue
		fewest = failures
		least = loss
		best = option
	}
	return best
}

/**
 * Estimates the work that other jobs would lose with a worker, in thousandths of a core times
 * milliseconds; a run without progress counts a little.
 */
function lossOn(view: WorkerView, job: string): number {
	let loss = 0
	for (const { name, need, step, percent } of view.runs.values()) {
		if (name.job === job) continue
		const work = step.lasting ? LASTING_WORK_MS : (step.expectedTime * percent) / 100
		loss += need.cpu * (work + 1)
	}
	return loss
}
