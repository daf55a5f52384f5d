/**
 * Decides whether waiting steps are ordered by how useful they still are to their callers, before
 * their latest start. This applies:
 *
 * - where the settings ask for it, since callers compete for too little capacity;
 * - where worker speeds differ so much that work becomes late because of where it was placed;
 * - where gangs are planned as a whole: a late gang that goes first takes capacity and advice for
 *   long and makes the next one late too.
 */
import type { LeaderPolicy } from '../leader/LeaderPolicy'

/**
 * Tracks the conditions under which steps are ordered by usefulness.
 *
 * @internal
 */
export class UsefulnessOrder {
	/** Whether worker speeds differ so much that placement takes them into account. */
	hasDifferingSpeeds = false
	/** Whether a gang has been planned as a whole during this leadership. */
	hasPlannedGangs = false

	constructor(private readonly policy: LeaderPolicy) {}

	/** Whether steps that can still finish in time go before those that are late. */
	get isEnabled(): boolean {
		return this.policy.overload || this.hasDifferingSpeeds || this.hasPlannedGangs
	}
}
