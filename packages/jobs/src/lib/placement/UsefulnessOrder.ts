/**
 * Whether waiting steps are ordered by the use that they still are of, besides their latest start. It is called for where callers compete for
 * too little room, by the settings; where workers differ so much in speed that work becomes late by where it landed; and where gangs are
 * planned as a whole, since a late one that goes first takes room and advice for long, and so makes the next one late.
 */
import type { LeaderPolicy } from '../leader/LeaderPolicy'

/**
 * Whether the order by use is in force.
 *
 * @internal
 */
export class UsefulnessOrder {
	/** Whether the speeds of workers differ so much that decisions heed them. */
	hasDifferingSpeeds = false
	/** Whether gangs have been planned as a whole in this leadership. */
	hasPlannedGangs = false

	constructor(private readonly policy: LeaderPolicy) {}

	/** Whether what can still be in time goes before what can't. */
	get isEnabled(): boolean {
		return this.policy.overload || this.hasDifferingSpeeds || this.hasPlannedGangs
	}
}
