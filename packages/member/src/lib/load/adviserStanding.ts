/** Rates how suited an instance is to ask for advice; the leader selects among free instances by it. */
import type { AdviserStatus } from '@rillrudder/jobs'
import { FILL_SCALE } from './InstanceLoad'
import { LATE_LOOP_MS } from './LoopDelay'
import type { FreshLoad } from './PeerLoads'

/** Steps in which the fill of instances is compared, so that all rank equal under low load. */
const FILL_STEPS = 4
/** Share of the largest entry instance's processor below which an instance counts as small. */
const SMALL_SHARE = 0.5

/** The processor of an instance, as far as known. @internal */
export interface KnownProcessor {
	/** Thousandths of a core; undefined if unknown, and for core instances. */
	readonly processor: number | undefined
	/** Processor of the largest entry instance, in thousandths of a core. */
	readonly largest: number
}

/** @returns the standing of an instance; unknown figures don't count against it. @internal */
export function adviserStanding(
	load: FreshLoad | undefined,
	{ processor, largest }: KnownProcessor
): AdviserStatus {
	const { loopDelay, fill } = load ?? { loopDelay: 0, fill: 0 }
	return {
		isLate: loopDelay >= LATE_LOOP_MS,
		load: Math.floor((fill / FILL_SCALE) * FILL_STEPS),
		isSmall: processor !== undefined && processor < largest * SMALL_SHARE,
	}
}
