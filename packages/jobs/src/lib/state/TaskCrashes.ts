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

/** The workers that a task has lost; absent lists are empty. @public */
export interface TaskCrashes {
	/** Workers that crashed while it ran there. */
	crashed?: readonly LostWorker[]
	/** Workers that became unreachable, on which its run was abandoned and whose fate is unknown. */
	silent?: readonly LostWorker[]
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
	 * It does not start until it is known whether the unreachable workers that it has lost have
	 * crashed.
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
export function suspicionOf({ crashed, silent }: TaskCrashes): Suspicion {
	if (!crashed && !silent) return Suspicion.None
	if (crashed && isProof(crashed)) return Suspicion.Proven
	const lost = [...(crashed ?? []), ...(silent ?? [])]
	const early = lost.filter(isEarly).length
	if (early >= MIN_EARLY_FOR_ISOLATION && silent?.some(isEarly)) return Suspicion.Held
	if (early >= MIN_EARLY_FOR_ISOLATION || countStrong(lost) >= MIN_STRONG_FOR_ISOLATION)
		return Suspicion.Isolated
	return early > 0 ? Suspicion.Suspected : Suspicion.None
}

/** Records a worker that became unreachable, on which a run of the task was abandoned. @public */
export function addSilentWorker(task: TaskCrashes, lost: LostWorker): void {
	task.silent = withLostWorker(task.silent, lost)
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
	task.crashed = withLostWorker(task.crashed, earlier ?? { worker, evidence })
}

/** Removes an unreachable worker that turned out not to have crashed. @public */
export function removeSilentWorker(task: TaskCrashes, worker: string): void {
	const left = task.silent?.filter((lost) => lost.worker !== worker) ?? []
	if (left.length > 0) task.silent = left
	else delete task.silent
}

/**
 * Drops the crashes of a task that was at work for long without harm: it did not cause them.
 * @public
 */
export function clearCrashes(task: TaskCrashes): void {
	delete task.crashed
}

function isProof(crashed: readonly LostWorker[]): boolean {
	if (countStrong(crashed) >= MIN_STRONG_FOR_PROOF) return true
	return crashed.filter(isEarly).length >= MIN_EARLY_FOR_PROOF || crashed.length >= MIN_FOR_PROOF
}

function withLostWorker(list: readonly LostWorker[] = [], lost: LostWorker): readonly LostWorker[] {
	return list.some(({ worker }) => worker === lost.worker) ? list : [...list, lost]
}

function isEarly({ evidence }: LostWorker): boolean {
	return evidence !== CrashEvidence.Weak
}

function countStrong(list: readonly LostWorker[]): number {
	return list.filter(({ evidence }) => evidence === CrashEvidence.Strong).length
}
