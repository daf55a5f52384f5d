/**
 * Notices that time may have passed which the steady clock did not count: a machine that is suspended stands still, and so does
 * that clock, while the calendar goes on. The calendar can also be set, so a skip is no proof that time has passed; but whoever
 * relies on a span not being over yet, such as the holder of a lease, must ask again before it acts.
 */
import type { Clock } from './Clock'

/** Milliseconds by which the calendar must run ahead between two looks; it is read in whole milliseconds, and slewed by less. */
const LEAST_SKIP = 10

/**
 * Compares a clock's steady time with its calendar.
 *
 * @public
 */
export class ClockSkipDetector {
	private ahead: number

	/** @param clock - the clock to watch. */
	constructor(private readonly clock: Pick<Clock, 'ahead'>) {
		this.ahead = clock.ahead()
	}

	/** @returns whether the calendar has run ahead of the steady clock since this was last asked. */
	detectSkip(): boolean {
		const before = this.ahead
		this.ahead = this.clock.ahead()
		return this.ahead - before >= LEAST_SKIP
	}
}
