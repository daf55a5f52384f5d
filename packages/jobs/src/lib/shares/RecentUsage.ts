/** What client accounts had of late, as it is replicated for the next leader. */
import type { RecentCapacityShare } from './AccountShares'
import type { RecentAdviceTime } from './AdviceShares'

/** What accounts had as of one moment. @public */
export interface RecentUsage {
	/** Milliseconds since the epoch, by the leader's clock. */
	readonly at: number
	readonly rooms: readonly RecentCapacityShare[]
	readonly advice: readonly RecentAdviceTime[]
}
