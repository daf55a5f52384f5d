/** How the end of a worker's incarnation becomes known. */
/** The ways, as log lines tell them. @internal */
export const WorkerEnd = {
	/** It said that it ends. */
	Left: 'left',
	/** It has been silent for long and runs nothing. */
	Forgotten: 'forgotten',
	/** Another incarnation answered a call that was meant for it. */
	OtherIncarnation: 'other incarnation',
	/** Another incarnation reports from its address. */
	Replaced: 'replaced at its address',
	/** Its heartbeat came after another incarnation had taken its place. */
	Late: 'its heartbeat came late',
} as const
/** One of the ways. @internal */
export type WorkerEnd = (typeof WorkerEnd)[keyof typeof WorkerEnd]

/**
 * @param end - how the end became known.
 * @returns whether it ended without a word. One that has been silent for long may live on behind a cut; it counts, so
 * that a task whose workers never come back is bounded too. So does one that had said that it is leaving, since it may still have crashed.
 * @internal
 */
export function isCrash(end: WorkerEnd): boolean {
	return end !== WorkerEnd.Left && end !== WorkerEnd.Late
}
