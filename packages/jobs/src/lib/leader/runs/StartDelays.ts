/** How long starts take from their decision to their worker's confirmation, told for each period: what shows first that a cell is behind. */

/** Milliseconds over which starts are judged. */
const PERIOD = 250
/** Starts in a period from which they tell of the cell, and not of one worker or gang. */
const LEAST_STARTS = 10

/**
 * The delays of starts.
 *
 * @internal
 */
export class StartDelays {
	private delays: number[] = []
	private since: number

	/** @param now - when the first period begins, on the leader's clock. */
	constructor(now: number) {
		this.since = now
	}

	/** A worker has confirmed a start. @param delay - milliseconds since it was decided. */
	record(delay: number): void {
		this.delays.push(delay)
	}

	/**
	 * Ends the period, if it is over.
	 *
	 * @param now - the moment, on the leader's clock.
	 * @param awaited - milliseconds since each start was decided that no worker has confirmed yet: they will have taken longer.
	 * @returns the milliseconds that half of the starts took at least, 0 where there were too few to tell; undefined while the period goes on.
	 */
	takeMedian(now: number, awaited: () => Iterable<number>): number | undefined {
		if (now - this.since < PERIOD) return undefined
		this.since = now
		const delays = [...this.delays, ...awaited()]
		this.delays = []
		return delays.length < LEAST_STARTS ? 0 : upperMedianOf(delays)
	}
}

function upperMedianOf(numbers: number[]): number {
	numbers.sort((left, right) => left - right)
	return numbers[Math.floor(numbers.length / 2)]
}
