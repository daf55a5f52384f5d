/** What client accounts have used recently, as replicated for the next leader. */
import type { RecentCapacityShare } from './AccountShares'
import type { RecentAdviceTime } from './AdviceShares'

/** The recent usage of all accounts as of one moment. @public */
export interface RecentUsage {
	/** Milliseconds since the epoch, by the leader's clock. */
	readonly at: number
	readonly rooms: readonly RecentCapacityShare[]
	readonly advice: readonly RecentAdviceTime[]
}
