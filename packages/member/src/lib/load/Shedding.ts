/**
 * When an entry instance sends new connections elsewhere: it calls itself not ready, which costs nobody anything. What comes on the connections
 * that it has is served on. It refuses nothing by itself, since only a leader can tell that no earlier try of a job was taken.
 */
import { LATE_LOOP } from './LoopDelay'

/** What shedding follows from. @internal */
export interface EntryLoadReading {
	/** Milliseconds that the event loop is late. */
	readonly loopDelay: number
	/** Share of the calls that the instance can hold that are under way. */
	readonly fill: number
}

/** Where callers are sent elsewhere. */
const BOUND: EntryLoadReading = { loopDelay: LATE_LOOP, fill: 0.5 }
/** Share of the bound below which a reading has to fall for shedding to end. */
const ENDS_BELOW = 0.5
/** Milliseconds for which it has to stay there; a balancer that asks once a second needs two answers to notice anything. */
const SETTLED = 2000

/**
 * Whether one entry instance sheds new connections.
 *
 * @internal
 */
export class Shedding {
	private current = false
	/** When the load was last too high for shedding to end. */
	private heldAt = Number.NEGATIVE_INFINITY

	/** Whether new connections are to go elsewhere. */
	get active(): boolean {
		return this.current
	}

	/** Takes a reading. */
	update(reading: EntryLoadReading, now: number): void {
		if (reaches(reading, 1)) this.current = true
		if (reaches(reading, ENDS_BELOW)) this.heldAt = now
		else if (now - this.heldAt >= SETTLED) this.current = false
	}
}

function reaches({ loopDelay, fill }: EntryLoadReading, share: number): boolean {
	return loopDelay >= BOUND.loopDelay * share || fill >= BOUND.fill * share
}
