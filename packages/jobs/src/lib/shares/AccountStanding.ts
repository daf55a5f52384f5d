/** The state of an account's share at one service. */
import type { QuotaAccount } from '@rillrudder/scheduler'

/** What an account has of a service. Shares are dominant shares, from 0 to 1. @internal */
export interface AccountStanding {
	readonly account: QuotaAccount
	/** The share that the account may count on while others wait. */
	readonly share: number
	/** The share that it holds now. */
	readonly held: number
	/** The moving average of the share that it has held recently. */
	readonly had: number
	/** Whether it waits and is over its share. */
	readonly over: boolean
	/** Whether it waits for capacity. */
	readonly waits: boolean
}
