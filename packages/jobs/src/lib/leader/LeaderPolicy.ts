/** What a deployment asks of its leader beyond what every deployment gets. */

/** Parts of the policy that are off unless a deployment's settings call for them. @public */
export interface LeaderPolicy {
	/**
	 * Whether callers compete for too little room: what can still be in time goes before what can't, and a change of leader pardons nobody
	 * who sends beyond its rate.
	 */
	readonly overload: boolean
	/** Whether accounts get shares of scarce room and advice by their weights. */
	readonly shares: boolean
}

/** The policy of a deployment that asks for nothing more. @public */
export const DEFAULT_LEADER_POLICY: LeaderPolicy = { overload: false, shares: false }
