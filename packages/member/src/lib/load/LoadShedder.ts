/**
 * Decides when an entry instance sheds new connections: it reports itself as not ready, so that
 * they go elsewhere at no cost to the callers. Calls on existing connections are still served. The
 * instance refuses nothing by itself, since only a leader can tell that no earlier try of a job was
 * accepted.
 */
import { LATE_LOOP_MS } from './LoopDelay'

/** The load figures that shedding depends on. @internal */
export interface EntryLoadReading {
	/** Event loop delay in milliseconds. */
	readonly loopDelay: number
	/** Calls in flight as a share of those that the instance can hold. */
	readonly fill: number
}

/** Load from which new connections are shed. */
const SHED_THRESHOLD: EntryLoadReading = { loopDelay: LATE_LOOP_MS, fill: 0.5 }
/** Share of the threshold below which the load has to fall for shedding to end. */
const RECOVERY_SHARE = 0.5
/**
 * Milliseconds for which the load has to stay there: a load balancer that checks once a second
 * needs two answers to notice a change.
 */
const RECOVERY_PERIOD_MS = 2000

/**
 * Load shedding of one entry instance, with hysteresis.
 *
 * @internal
 */
export class LoadShedder {
	private shedding = false
	/** When the load was last too high for shedding to end. */
	private lastBusyAt = Number.NEGATIVE_INFINITY

	/** Whether new connections are shed. */
	get isShedding(): boolean {
		return this.shedding
	}

	/** Updates the state from a load reading. */
	update(reading: EntryLoadReading, now: number): void {
		if (isAtOrAbove(reading, 1)) this.shedding = true
		if (isAtOrAbove(reading, RECOVERY_SHARE)) this.lastBusyAt = now
		else if (now - this.lastBusyAt >= RECOVERY_PERIOD_MS) this.shedding = false
	}
}

function isAtOrAbove({ loopDelay, fill }: EntryLoadReading, share: number): boolean {
	return loopDelay >= SHED_THRESHOLD.loopDelay * share || fill >= SHED_THRESHOLD.fill * share
}
