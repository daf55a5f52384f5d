/** What client accounts had of late, as it is replicated for the next leader. */
import type { HadRoom } from './AccountShares'
import type { HadAdvice } from './AdviceShares'

/** What accounts had as of one moment. @public */
export interface HadShares {
	/** Milliseconds since the epoch, by the leader's clock. */
	readonly at: number
	readonly rooms: readonly HadRoom[]
	readonly advice: readonly HadAdvice[]
}
