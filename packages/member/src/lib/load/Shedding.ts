/**
 * When an entry instance turns callers away. First it calls itself not ready, which costs nobody anything: new connections go elsewhere. Only
 * when its answers would come too late does it refuse new submissions.
 */
import { LATE_LOOP } from './LoopDelay'

/** What an entry instance still takes. @internal */
export const ShedLevel = {
	/** Everything. */
	None: 'none',
	/** Everything on the connections that it has; new ones are to go elsewhere. */
	Connections: 'connections',
	/** No new submissions; states and cancels on the connections that it has. */
	Submissions: 'submissions',
} as const
/** One of the levels. @internal */
export type ShedLevel = (typeof ShedLevel)[keyof typeof ShedLevel]

/** What the level follows from. @internal */
export interface EntryLoadReading {
	/** Milliseconds that the event loop is late. */
	readonly loopDelay: number
	/** Share of the calls that the instance can hold that are under way. */
	readonly fill: number
}

/** Where callers are sent elsewhere. */
const CONNECTIONS_FROM: EntryLoadReading = { loopDelay: LATE_LOOP, fill: 0.5 }
/**
 * Where submissions are refused. One passes the loop four times, so at this delay it takes a second: as long as one that is refused takes to
 * come back. What can't be held is refused in any case.
 */
const SUBMISSIONS_FROM: EntryLoadReading = { loopDelay: 250, fill: 1 }
/** Share of a bound below which a reading has to fall for the level to end. */
const ENDS_BELOW = 0.5
/** Milliseconds for which it has to stay there; a balancer that asks once a second needs two answers to notice anything. */
const SETTLED = 2000

/**
 * The level of one entry instance.
 *
 * @internal
 */
export class Shedding {
	private current: ShedLevel = ShedLevel.None
	/** When the load was last too high for the level to end. */
	private heldAt = Number.NEGATIVE_INFINITY

	/** What is turned away now. */
	get level(): ShedLevel {
		return this.current
	}

	/** Takes a reading. */
	update(reading: EntryLoadReading, now: number): void {
		if (reaches(reading, SUBMISSIONS_FROM, 1)) this.rise(ShedLevel.Submissions, now)
		else if (this.current === ShedLevel.Submissions) this.fall(reading, SUBMISSIONS_FROM, now)
		else if (reaches(reading, CONNECTIONS_FROM, 1)) this.rise(ShedLevel.Connections, now)
		else if (this.current === ShedLevel.Connections) this.fall(reading, CONNECTIONS_FROM, now)
	}

	private rise(level: ShedLevel, now: number): void {
		this.current = level
		this.heldAt = now
	}

	private fall(reading: EntryLoadReading, bound: EntryLoadReading, now: number): void {
		if (reaches(reading, bound, ENDS_BELOW)) this.heldAt = now
		if (now - this.heldAt < SETTLED) return
		const submissions = this.current === ShedLevel.Submissions
		this.rise(submissions ? ShedLevel.Connections : ShedLevel.None, now)
	}
}

function reaches(reading: EntryLoadReading, bound: EntryLoadReading, share: number): boolean {
	const { loopDelay, fill } = reading
	return loopDelay >= bound.loopDelay * share || fill >= bound.fill * share
}
