/** How the end of a worker's incarnation becomes known. */

/** The ways in which it becomes known, as logged in the field `reason`. @internal */
export const WorkerEnd = {
	/** The worker announced its end. */
	Left: 'left',
	/** It has sent no heartbeat for a long time and runs nothing. */
	Forgotten: 'forgotten',
	/** Another incarnation answered a call that was meant for it. */
	OtherIncarnation: 'other incarnation',
	/** Another incarnation reports from its address. */
	Replaced: 'replaced at its address',
	/** Its heartbeat arrived after another incarnation had taken its place. */
	Late: 'its heartbeat came late',
} as const
/** One of the values of `WorkerEnd`. @internal */
export type WorkerEnd = (typeof WorkerEnd)[keyof typeof WorkerEnd]

/**
 * @param end - how the end became known.
 * @returns whether the worker ended unannounced. One without heartbeat for long may still run
 * behind a network partition; it counts as a crash, so that the restarts of a task whose workers
 * never come back are bounded too. So does one that was draining, since it may still have crashed.
 * @internal
 */
export function isCrash(end: WorkerEnd): boolean {
	return end !== WorkerEnd.Left && end !== WorkerEnd.Late
}
