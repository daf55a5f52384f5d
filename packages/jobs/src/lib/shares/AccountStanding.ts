/** What is known of an account at one service. */
import type { QuotaAccount } from '@rillrudder/scheduler'

/** What an account has of a service; shares are of the largest resource, from 0 to 1. @internal */
export interface AccountStanding {
	readonly account: QuotaAccount
	/** What it may count on while others wait. */
	readonly share: number
	readonly held: number
	/** What it had on the mean of late. */
	readonly had: number
	readonly over: boolean
	/** Whether it waits for room. */
	readonly waits: boolean
}
