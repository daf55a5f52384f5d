/** What a deployment asks of its leader beyond what every deployment gets. */

/** Parts of the policy that are off unless a deployment's settings call for them. @public */
export interface LeaderPolicy {
	/**
	 * Whether callers compete for too little room: accounts get shares of it by their weights, jobs that can be of no use are refused when
	 * they are handed in, and what can still be in time goes before what can't.
	 */
	readonly overload: boolean
}

/** The policy of a deployment that asks for nothing more. @public */
export const PLAIN_POLICY: LeaderPolicy = { overload: false }
