/**
 * The workers that a task has lost: those that crashed under it, and those that fell silent under it and of which is not
 * known yet whether they crashed. A task that crashes each worker that starts it must not begin for ever, so what is
 * counted here is replicated with the task: it outlives leaders, restarts and snapshots.
 *
 * One crash proves little, since several tasks share a worker, and workers fail by themselves. So each is kept with what it
 * says of the task. See `docs/design/crashes.md` for how the numbers below were chosen.
 */

/** What the crash of a worker says of a task that ran there. @public */
export const CrashEvidence = {
	/** The worker was there when the task began, and crashed just after. */
	Strong: 'strong',
	/** It may have been so, and may not. */
	Doubtful: 'doubtful',
	/** The task had been at work for a while. */
	Weak: 'weak',
} as const
/** One of the answers. @public */
export type CrashEvidence = (typeof CrashEvidence)[keyof typeof CrashEvidence]

/** A worker that a task has lost. @public */
export interface LostWorker {
	/** Id of the incarnation. */
	readonly worker: string
	readonly evidence: CrashEvidence
}

/** The workers that a task has lost; absent lists are empty. @public */
export interface TaskCrashes {
	/** Workers that crashed under it. */
	crashed?: readonly LostWorker[]
	/** Workers that fell silent under it, where its run was given up, and whose fate is not known. */
	silent?: readonly LostWorker[]
}

/** How a task is treated for the workers that it has lost. @public */
export const Suspicion = {
	/** As any other. */
	None: 'none',
	/** It begins where the least work is lost if its worker crashes. */
	Suspected: 'suspected',
	/** The same, and nothing of other jobs begins on its worker meanwhile. */
	Isolated: 'isolated',
	/** It does not begin before it is known whether workers that fell silent under it have crashed. */
	Held: 'held',
	/** It crashes its workers: it never begins again. */
	Proven: 'proven',
} as const
/** One of the treatments. @public */
export type Suspicion = (typeof Suspicion)[keyof typeof Suspicion]

/** Crashes with strong evidence that prove that a task does it; two happen to innocent tasks. */
const MIN_STRONG_FOR_PROOF = 3
/**
 * Crashes with strong or doubtful evidence after which a task is given up: a sixth start could be the third after the third
 * crash. Five chance failures at one task's beginning are too rare to count with.
 */
const MIN_EARLY_FOR_PROOF = 5
/** Crashes of any evidence after which a task is given up, so that one that crashes its workers late is bounded too. */
const MIN_ANY_FOR_PROOF = 10
/**
 * Lost workers with strong evidence from which a task is isolated: to wait for a second one costs its neighbours more work than isolating an
 * innocent task costs it.
 */
const MIN_STRONG_FOR_ISOLATION = 1
/** Lost workers with strong or doubtful evidence from which a task is isolated, and waits to hear what became of each. */
const MIN_EARLY_FOR_ISOLATION = 2

/** @returns how a task is to be treated. @public */
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

/** A run of the task was given up on a worker that is silent. @public */
export function addSilentWorker(task: TaskCrashes, lost: LostWorker): void {
	task.silent = withLostWorker(task.silent, lost)
}

/**
 * A worker has crashed under the task; a second report of the same crash changes nothing.
 *
 * @param evidence - what it says of the task; what was noted when the worker fell silent goes before.
 * @public
 */
export function addCrash(task: TaskCrashes, worker: string, evidence: CrashEvidence): void {
	const earlier = task.silent?.find((lost) => lost.worker === worker)
	removeSilentWorker(task, worker)
	task.crashed = withLostWorker(task.crashed, earlier ?? { worker, evidence })
}

/** A worker that was silent has not crashed. @public */
export function removeSilentWorker(task: TaskCrashes, worker: string): void {
	const left = task.silent?.filter((lost) => lost.worker !== worker) ?? []
	if (left.length > 0) task.silent = left
	else delete task.silent
}

/** The task was at work for long without harm: that its earlier workers ended was not its doing. @public */
export function clearCrashes(task: TaskCrashes): void {
	delete task.crashed
}

function isProof(crashed: readonly LostWorker[]): boolean {
	if (countStrong(crashed) >= MIN_STRONG_FOR_PROOF) return true
	return (
		crashed.filter(isEarly).length >= MIN_EARLY_FOR_PROOF || crashed.length >= MIN_ANY_FOR_PROOF
	)
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
