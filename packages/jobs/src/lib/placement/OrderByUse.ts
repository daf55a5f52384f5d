/**
 * Whether waiting steps are ordered by the use that they still are of, besides their latest start. It is called for where callers compete for
 * too little room, by the settings, and where workers differ so much in speed that work becomes late by where it landed.
 */
import type { LeaderPolicy } from '../leader/LeaderPolicy'

/**
 * Whether the order by use is in force.
 *
 * @internal
 */
export class OrderByUse {
	/** Whether the speeds of workers differ so much that decisions heed them. */
	speedsDiffer = false

	constructor(private readonly policy: LeaderPolicy) {}

	/** Whether what can still be in time goes before what can't. */
	get inForce(): boolean {
		return this.policy.overload || this.speedsDiffer
	}
}
