/** How well an instance can ask for advice, as the leader's choice among free ones takes it. */
import type { AdviserStatus } from '@rillrudder/jobs'
import { WHOLE_FILL } from './InstanceLoad'
import { LATE_LOOP } from './LoopDelay'
import type { FreshLoad } from './PeerLoads'

/** Parts in which the fill of an instance is compared, so that all are alike while there is little to do. */
const FILL_STEPS = 4
/** Share of the largest entry instance's processor below which another one is small. */
const SMALL_SHARE = 0.5

/** What is known of an instance's processor. @internal */
export interface KnownProcessor {
	/** Thousandths of a core; undefined where it is not known, and for core instances. */
	readonly processor: number | undefined
	/** The same of the largest entry instance. */
	readonly largest: number
}

/** @returns where an instance stands; what is not known of it counts for nothing. @internal */
export function adviserStanding(
	load: FreshLoad | undefined,
	{ processor, largest }: KnownProcessor
): AdviserStatus {
	const { loopDelay, fill } = load ?? { loopDelay: 0, fill: 0 }
	return {
		isLate: loopDelay >= LATE_LOOP,
		load: Math.floor((fill / WHOLE_FILL) * FILL_STEPS),
		isSmall: processor !== undefined && processor < largest * SMALL_SHARE,
	}
}
