/**
 * Detects time that the monotonic clock may not have counted: it stops while the machine is
 * suspended, whereas the wall clock goes on. The wall clock can also be set, so a skip does not prove
 * that time has passed. Code that relies on a span not having elapsed, such as the holder of a lease,
 * must revalidate it before it acts.
 */
import type { Clock } from './Clock'

/**
 * Smallest advance of the wall clock over the monotonic clock, between two checks, that counts as a
 * skip. The wall clock is read in whole milliseconds, and slewing changes it by less than this.
 */
const MIN_SKIP_MS = 10

/**
 * Compares a clock's monotonic time with its wall-clock time.
 *
 * @public
 */
export class ClockSkipDetector {
	private ahead: number

	/** @param clock - the clock to watch. */
	constructor(private readonly clock: Pick<Clock, 'ahead'>) {
		this.ahead = clock.ahead()
	}

	/** @returns whether the wall clock has skipped ahead of the monotonic clock since the last call. */
	detectSkip(): boolean {
		const before = this.ahead
		this.ahead = this.clock.ahead()
		return this.ahead - before >= MIN_SKIP_MS
	}
}
