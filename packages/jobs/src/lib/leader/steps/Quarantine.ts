/**
 * Decides where tasks start that were running on workers when these crashed. Most of them are
 * innocent: they merely shared the worker with the task that crashed it. So none of them waits for
 * an empty worker. A suspected task goes where the least work is lost if its worker crashes. An
 * isolated task needs, besides, a worker on which all tasks of other jobs have been running for a
 * while, preferably one on which none of them is suspected; no task of another job starts beside it
 * until it has outlived the time in which it would have crashed its worker. While there is no such
 * worker, one is cordoned: no task of another job starts there, so that those that have started
 * settle.
 *
 * This keeps a cell working in which a few tasks crash every worker that starts them.
 */
import { suspicionOf, Suspicion, type TaskCrashes } from '../../state/TaskCrashes'
import type { CellState } from '../../state/CellState'
import { hasCapacity, type WorkerOption, type CapacityCheck } from './chooseWorkerForStep'
import { ExclusiveWorkers, type ExclusiveUse } from './ExclusiveWorkers'
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

/**
 * Milliseconds that an isolated task waits for a worker that settles by itself before one is
 * cordoned, since a cordon keeps others waiting.
 */
const SETTLE_WAIT_MS = 1000
/**
 * Milliseconds for which a worker stays cordoned unless the cordon is renewed, which every full pass
 * does while the task waits.
 */
const CORDON_MS = 1000

/** The time after its start in which an isolated task has its worker to itself. */
interface Probation extends ExclusiveUse {
	/** The isolated task; its time is infinite until its run has started. */
	readonly task: string
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
	/** Workers on which isolated tasks have recently started. */
	private readonly probations = new ExclusiveWorkers<Probation>()
	/** Workers on which isolated tasks are about to start. */
	private readonly cordons = new ExclusiveWorkers<ExclusiveUse>()

	constructor(
		private readonly state: CellState,
		private readonly decidedStarts: DecidedStarts
	) {}

	/** @returns how strongly a task of a step is suspected. */
	suspicionOf({ record }: StepWork, index: number): Suspicion {
		return suspicionOf(record.tasks[index])
	}

	/**
	 * @returns whether a task of a job may start on a worker, which is not the case beside an isolated
	 * task of another job that has just started or is about to.
	 */
	admits(job: string, worker: string, now: number): boolean {
		return this.probations.admits(job, worker, now) && this.cordons.admits(job, worker, now)
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
		const probationWorker = needsOwnWorker ? this.probations.workerFor(job, now) : undefined
		const admitting = options.filter((option) => {
			if (probationWorker !== undefined && probationWorker !== option.view.id) return false
			if (!hasCapacity(work, option) || !isFree(work, option)) return false
			return !needsOwnWorker || this.hasOnlySettledRuns(option.view, job, now)
		})
		return needsOwnWorker
			? this.preferUnsuspected(work, admitting)
			: leastLossAmong(work, admitting)
	}

	/**
	 * Cordons a worker for an isolated task that no worker has admitted for a while, or renews the
	 * cordon. Otherwise the task would wait for as long as other tasks keep starting on every worker.
	 *
	 * @param work - the step of the task.
	 * @param index - index of the task.
	 * @param options - workers that may run the step.
	 * @param isFree - whether a worker has capacity that is not reserved for others.
	 * @param now - the current time, on the leader's clock.
	 * @returns the worker, if it was not cordoned for the job before.
	 */
	cordonFor(
		work: StepWork,
		index: number,
		options: readonly WorkerOption[],
		isFree: CapacityCheck,
		now: number
	): WorkerOption | undefined {
		work.isolatedSince ??= now
		const hasWaited = now - work.isolatedSince >= SETTLE_WAIT_MS
		if (!hasWaited && !wasHeld(work.record.tasks[index])) return undefined
		const job = work.job.id
		// Isolated tasks of one job start on one worker.
		if (this.probations.workerFor(job, now) !== undefined) return undefined
		const known = this.cordons.workerFor(job, now)
		if (known !== undefined && !options.some(({ view }) => view.id === known)) return undefined
		const suitable = this.getSuitableForCordon(work, options, isFree, now)
		const kept = suitable.find(({ view }) => view.id === known)
		const chosen = kept ?? this.preferUnsuspected(work, suitable)
		if (known !== undefined) this.cordons.release(known)
		if (chosen) this.cordons.set(chosen.view.id, { job, until: now + CORDON_MS })
		return kept ? undefined : chosen
	}

	/**
	 * @returns workers with capacity for a step, those with an overdue start only if all have one:
	 * it is unknown when these settle.
	 */
	private getSuitableForCordon(
		work: StepWork,
		options: readonly WorkerOption[],
		isFree: CapacityCheck,
		now: number
	): readonly WorkerOption[] {
		const free = options.filter((option) => hasCapacity(work, option) && isFree(work, option))
		const punctual = free.filter(({ view }) => !hasOverdueStart(view, work.job.id, now))
		return punctual.length > 0 ? punctual : free
	}

	/**
	 * @returns the worker on which a crash would lose the least work, preferably one without suspected
	 * runs of other jobs. Such runs may last for hours, so they do not rule a worker out.
	 */
	private preferUnsuspected(
		work: StepWork,
		options: readonly WorkerOption[]
	): WorkerOption | undefined {
		const unsuspected = options.filter(({ view }) => !this.hasSuspectedRun(view, work.job.id))
		return leastLossAmong(work, unsuspected) ?? leastLossAmong(work, options)
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

	/**
	 * Records that the start of an isolated task on a worker is decided.
	 *
	 * @param work - the step of the task.
	 * @param task - the task's name in text form.
	 */
	onStartDecided(work: StepWork, task: string, worker: string, now: number): void {
		const job = work.job.id
		work.isolatedSince = undefined
		this.probations.set(worker, { job, task, until: Number.POSITIVE_INFINITY })
		const cordoned = this.cordons.workerFor(job, now)
		if (cordoned !== undefined) this.cordons.release(cordoned)
	}

	/** Records that a run has started. */
	onRunStarted(task: string, worker: string, now: number): void {
		const probation = this.probations.get(worker)
		if (probation?.task !== task) return
		this.probations.set(worker, { ...probation, until: now + PROBATION_MS })
	}

	/** Records that a run has ended or will not start. */
	onRunEnded(task: string, worker: string): void {
		if (this.probations.get(worker)?.task === task) this.probations.release(worker)
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

/** Whether a task was held until a worker that it had lost was presumed to have crashed. */
function wasHeld({ silent = [] }: TaskCrashes): boolean {
	return silent.some(({ presumedCrashed }) => presumedCrashed)
}

/** Whether a worker has had an order to start a task of another job for long, unconfirmed. */
function hasOverdueStart({ runs }: WorkerView, job: string, now: number): boolean {
	return [...runs.values()].some(
		({ name, confirmedAt, phaseSince }) =>
			name.job !== job && confirmedAt === undefined && now - phaseSince >= PROBATION_MS
	)
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
