/**
 * The workers that a task has lost: those that crashed while it ran there, and those that became
 * unreachable and of which is not known yet whether they crashed. A task that crashes every worker
 * that starts it must not be restarted for ever, so this record is replicated with the task: it
 * outlives leaders, restarts and snapshots.
 *
 * One crash proves little, since several tasks share a worker and workers fail by themselves. So
 * each crash is kept with the strength of its evidence. `docs/design/crashes.md` explains the
 * numbers below.
 */

/**
 * Strength of the evidence that a crash of a worker gives against a task that ran there.
 * @public
 */
export const CrashEvidence = {
	/** The worker was alive when the task started, and crashed just after. */
	Strong: 'strong',
	/** It is unclear whether the worker crashed just after the task started. */
	Doubtful: 'doubtful',
	/** The task had been at work for a while before the crash. */
	Weak: 'weak',
} as const
/** One of the values of `CrashEvidence`. @public */
export type CrashEvidence = (typeof CrashEvidence)[keyof typeof CrashEvidence]

/** A worker that a task has lost. @public */
export interface LostWorker {
	/** Id of the worker's incarnation. */
	readonly worker: string
	readonly evidence: CrashEvidence
}

/** An unreachable worker on which a run of a task was abandoned. @public */
export interface SilentWorker extends LostWorker {
	/**
	 * When it became unreachable, milliseconds since the epoch by the leader's clock; absent in
	 * older records.
	 */
	readonly since?: number
	/** Whether it has been unreachable for so long that it counts as crashed until it answers. */
	readonly presumedCrashed?: true
}

/** The workers that a task has lost; absent lists are empty. @public */
export interface TaskCrashes {
	/** Workers that crashed while it ran there. */
	crashed?: readonly LostWorker[]
	/** Workers that became unreachable, on which its run was abandoned and whose fate is unknown. */
	silent?: readonly SilentWorker[]
}

/** How a task is treated because of the workers that it has lost. @public */
export const Suspicion = {
	/** Like any other task. */
	None: 'none',
	/** It is placed where the least work is lost if its worker crashes. */
	Suspected: 'suspected',
	/** Like `Suspected`, and no task of another job starts on its worker meanwhile. */
	Isolated: 'isolated',
	/**
	 * It does not start until each unreachable worker that it has lost has answered, has crashed or is
	 * presumed to have crashed.
	 */
	Held: 'held',
	/** It crashes its workers, and is never started again. */
	Proven: 'proven',
} as const
/** One of the values of `Suspicion`. @public */
export type Suspicion = (typeof Suspicion)[keyof typeof Suspicion]

/**
 * Crashes with strong evidence that prove that a task is the cause; two happen to innocent tasks.
 */
const MIN_STRONG_FOR_PROOF = 3
/**
 * Crashes with strong or doubtful evidence that prove it: a sixth start could be the third after
 * the third crash. Five unrelated failures just after the starts of one task are too rare to allow
 * for.
 */
const MIN_EARLY_FOR_PROOF = 5
/**
 * Crashes with any evidence that prove it, so that a task that crashes its workers late is bounded
 * too.
 */
const MIN_FOR_PROOF = 10
/**
 * Lost workers with strong evidence from which a task is isolated: waiting for a second one costs
 * the other tasks on its worker more work than isolation costs an innocent task.
 */
const MIN_STRONG_FOR_ISOLATION = 1
/**
 * Lost workers with strong or doubtful evidence from which a task is isolated, and held until the
 * fate of each of them is known.
 */
const MIN_EARLY_FOR_ISOLATION = 2

/** @returns how a task is treated because of the workers that it has lost. @public */
export function suspicionOf(task: TaskCrashes): Suspicion {
	const { crashed, silent } = task
	if (!crashed && !silent) return Suspicion.None
	if (isProof(countedCrashesOf(task))) return Suspicion.Proven
	const lost = [...(crashed ?? []), ...(silent ?? [])]
	const early = lost.filter(isEarly).length
	const isFateAwaited = silent?.some((worker) => isEarly(worker) && !worker.presumedCrashed)
	if (early >= MIN_EARLY_FOR_ISOLATION && isFateAwaited) return Suspicion.Held
	if (early >= MIN_EARLY_FOR_ISOLATION || countStrong(lost) >= MIN_STRONG_FOR_ISOLATION)
		return Suspicion.Isolated
	return early > 0 ? Suspicion.Suspected : Suspicion.None
}

/** @returns the workers that count as crashed by a task, including those presumed so. @public */
export function countedCrashesOf({ crashed = [], silent = [] }: TaskCrashes): LostWorker[] {
	return [...crashed, ...silent.filter(({ presumedCrashed }) => presumedCrashed)]
}

/** Records a worker that became unreachable, on which a run of the task was abandoned. @public */
export function addSilentWorker(task: TaskCrashes, lost: SilentWorker): void {
	// A worker that has the task again had answered since it was lost before.
	removeSilentWorker(task, lost.worker)
	task.silent = withLostWorker(task.silent, lost)
}

/**
 * Counts an unreachable worker as crashed until it answers.
 *
 * @returns whether it did not count as crashed before.
 * @public
 */
export function presumeCrashed(task: TaskCrashes, worker: string): boolean {
	const isCounted = countedCrashesOf(task).some((lost) => lost.worker === worker)
	task.silent = task.silent?.map((lost) =>
		lost.worker === worker ? { ...lost, presumedCrashed: true } : lost
	)
	return !isCounted
}

/**
 * Records a worker that crashed while the task ran there; a second report of the same crash changes
 * nothing.
 *
 * @param evidence - evidence against the task; that recorded when the worker became unreachable
 * takes precedence.
 * @public
 */
export function addCrash(task: TaskCrashes, worker: string, evidence: CrashEvidence): void {
	const earlier = task.silent?.find((lost) => lost.worker === worker)
	removeSilentWorker(task, worker)
	const lost = { worker, evidence: earlier?.evidence ?? evidence }
	task.crashed = withLostWorker(task.crashed, lost)
}

/** Removes an unreachable worker that turned out not to have crashed. @public */
export function removeSilentWorker(task: TaskCrashes, worker: string): void {
	const left = task.silent?.filter((lost) => lost.worker !== worker) ?? []
	if (left.length > 0) task.silent = left
	else delete task.silent
}

/**
 * Drops the crashes of a task that was at work for long without harm: it did not cause them.
 *
 * @returns the unreachable workers among them, which were presumed to have crashed.
 * @public
 */
export function clearCrashes(task: TaskCrashes): string[] {
	const presumed = (task.silent ?? []).filter(({ presumedCrashed }) => presumedCrashed)
	delete task.crashed
	for (const { worker } of presumed) removeSilentWorker(task, worker)
	return presumed.map(({ worker }) => worker)
}

function isProof(crashed: readonly LostWorker[]): boolean {
	if (countStrong(crashed) >= MIN_STRONG_FOR_PROOF) return true
	return crashed.filter(isEarly).length >= MIN_EARLY_FOR_PROOF || crashed.length >= MIN_FOR_PROOF
}

function withLostWorker<Lost extends LostWorker>(
	list: readonly Lost[] = [],
	lost: Lost
): readonly Lost[] {
	return list.some(({ worker }) => worker === lost.worker) ? list : [...list, lost]
}

function isEarly({ evidence }: LostWorker): boolean {
	return evidence !== CrashEvidence.Weak
}

function countStrong(list: readonly LostWorker[]): number {
	return list.filter(({ evidence }) => evidence === CrashEvidence.Strong).length
}
