/** Optional features of the leader that a deployment's settings enable. */

/** Features that are off unless a deployment's settings enable them. @public */
export interface LeaderPolicy {
	/**
	 * Whether clients are expected to overload the cell. Work that can still meet its target then
	 * goes before work that cannot, and a new leader restores the submission rates of accounts, so
	 * that a change of leader does not let an account exceed its rate.
	 */
	readonly overload: boolean
	/** Whether accounts get shares of scarce capacity and of advice by their weights. */
	readonly shares: boolean
}

/** The policy with all optional features off. @public */
export const DEFAULT_LEADER_POLICY: LeaderPolicy = { overload: false, shares: false }
