/**
 * The workers that a task has lost: those that crashed under it, and those that fell silent under it and of which is not
 * known yet whether they crashed. A task that crashes each worker that starts it must not begin for ever, so what is
 * counted here is replicated with the task: it outlives leaders, restarts and snapshots.
 *
 * Evidence is strong where the worker may have crashed just after the task had begun there. One crash proves little, since
 * several tasks share a worker. Three strong ones prove it: in 300 seeded runs with crashes of single workers, racks and data
 * centres at the same time no other task was given up, and a task took three workers with it.
 */

/** A worker that a task has lost. @public */
export interface LostWorker {
	/** Id of the incarnation. */
	readonly worker: string
	/** Whether the task had begun there just before. */
	readonly strong: boolean
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
	/** Where the least work is lost if its worker crashes. */
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

/** Crashes with strong evidence that prove that a task does it. */
const PROOF = 3
/**
 * Crashes of any evidence after which a task is given up. It has begun three times without strong evidence by then, for
 * example since each crash came together with a change of leader; a sixth start would be the third after the third crash.
 */
const MOST_CRASHES = 5
/** Lost workers with strong evidence from which a task is isolated: the next crash is the proof, and should harm no others. */
const ISOLATED_FROM = 2
/** Lost workers of any evidence from which a task is isolated, and waits until the fate of each is known. */
const DOUBTFUL_FROM = 3

/** @returns how a task is to be treated. @public */
export function suspicionOf({ crashed = [], silent = [] }: TaskCrashes): Suspicion {
	if (strongIn(crashed) >= PROOF || crashed.length >= MOST_CRASHES) return Suspicion.Proven
	const strong = strongIn(crashed) + strongIn(silent)
	const lost = crashed.length + silent.length
	if (lost >= DOUBTFUL_FROM && silent.length > 0) return Suspicion.Held
	if (lost >= DOUBTFUL_FROM || strong >= ISOLATED_FROM) return Suspicion.Isolated
	return strong > 0 ? Suspicion.Suspected : Suspicion.None
}

/** A run of the task was given up on a worker that is silent. @public */
export function noteSilent(task: TaskCrashes, lost: LostWorker): void {
	task.silent = including(task.silent, lost)
}

/** A worker has crashed under the task; a second report of the same crash changes nothing. @public */
export function noteCrash(task: TaskCrashes, lost: LostWorker): void {
	const earlier = task.silent?.find(({ worker }) => worker === lost.worker)
	const strong = lost.strong || (earlier?.strong ?? false)
	forgetSilent(task, lost.worker)
	task.crashed = including(task.crashed, { worker: lost.worker, strong })
}

/** A worker that was silent has not crashed. @public */
export function forgetSilent(task: TaskCrashes, worker: string): void {
	const left = task.silent?.filter((lost) => lost.worker !== worker) ?? []
	if (left.length > 0) task.silent = left
	else delete task.silent
}

/** The task was at work for long without harm: what its earlier workers ended of was not its doing. @public */
export function forgetCrashes(task: TaskCrashes): void {
	delete task.crashed
}

function including(list: readonly LostWorker[] = [], lost: LostWorker): readonly LostWorker[] {
	return list.some(({ worker }) => worker === lost.worker) ? list : [...list, lost]
}

function strongIn(list: readonly LostWorker[]): number {
	return list.filter(({ strong }) => strong).length
}
