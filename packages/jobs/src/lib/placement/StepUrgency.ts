/**
 * In which order waiting steps are placed. Priority goes first. Within it what can still be in time goes before what
 * is late already, or an overload would make everything late. What is late comes back to its place before it would be
 * of no use at all.
 */

/**
 * How many times its objective a job may take and still be of some use. The users count a late job for a fifth up
 * to three times its objective.
 */
const LATE_FACTOR = 3
/** Milliseconds before a late step loses its last use at which it goes first again, so that it finds room. */
const LAST_CALL = 3000
/** What is added to the priority of a step that is late: it goes after the others of that priority. */
const LATE_DEMOTION = 0.5

/** When a step has to begin, and until when that matters; milliseconds since the epoch. @internal */
export interface StepTimes {
	/** When its job was handed in, or its time was due. */
	readonly since: number
	/** When its job should be done. */
	readonly deadline: number
	/** Milliseconds that it and the longest chain of steps after it are expected to take. */
	readonly remaining: number
}

/** What orders steps: lower goes first. @internal */
export interface Urgency {
	/** The priority, raised for a step that is late. */
	readonly priority: number
	/** The latest moment to begin, milliseconds since the epoch. */
	readonly latestStart: number
}

/**
 * @param priority - of the step's queue; 0 goes first.
 * @param times - when it has to begin.
 * @param epoch - now, in milliseconds since the epoch.
 * @internal
 */
export function urgencyOf(priority: number, times: StepTimes, epoch: number): Urgency {
	const { since, deadline, remaining } = times
	const latestStart = deadline - remaining
	if (epoch <= latestStart) return { priority, latestStart }
	const lastUse = since + (deadline - since) * LATE_FACTOR - remaining
	if (epoch > lastUse - LAST_CALL) return { priority, latestStart }
	return { priority: priority + LATE_DEMOTION, latestStart: lastUse }
}

/** Orders by urgency, the most urgent first. @internal */
export function compareUrgency(left: Urgency, right: Urgency): number {
	return left.priority - right.priority || left.latestStart - right.latestStart
}
