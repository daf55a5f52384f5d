/**
 * When an entry instance sends new connections elsewhere: it calls itself not ready, which costs nobody anything. What comes on the connections
 * that it has is served on. It refuses nothing by itself, since only a leader can tell that no earlier try of a job was taken.
 */
import { LATE_LOOP_MS } from './LoopDelay'

/** What shedding follows from. @internal */
export interface EntryLoadReading {
	/** Milliseconds that the event loop is late. */
	readonly loopDelay: number
	/** Share of the calls that the instance can hold that are under way. */
	readonly fill: number
}

/** Where callers are sent elsewhere. */
const SHED_THRESHOLD: EntryLoadReading = { loopDelay: LATE_LOOP_MS, fill: 0.5 }
/** Share of the bound below which a reading has to fall for shedding to end. */
const RECOVERY_SHARE = 0.5
/** Milliseconds for which it has to stay there; a balancer that asks once a second needs two answers to notice anything. */
const RECOVERY_PERIOD_MS = 2000

/**
 * Whether one entry instance sheds new connections.
 *
 * @internal
 */
export class LoadShedder {
	private shedding = false
	/** When the load was last too high for shedding to end. */
	private lastBusyAt = Number.NEGATIVE_INFINITY

	/** Whether new connections are to go elsewhere. */
	get isShedding(): boolean {
		return this.shedding
	}

	/** Takes a reading. */
	update(reading: EntryLoadReading, now: number): void {
		if (isAtOrAbove(reading, 1)) this.shedding = true
		if (isAtOrAbove(reading, RECOVERY_SHARE)) this.lastBusyAt = now
		else if (now - this.lastBusyAt >= RECOVERY_PERIOD_MS) this.shedding = false
	}
}

function isAtOrAbove({ loopDelay, fill }: EntryLoadReading, share: number): boolean {
	return loopDelay >= SHED_THRESHOLD.loopDelay * share || fill >= SHED_THRESHOLD.fill * share
}
