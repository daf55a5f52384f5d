/**
 * Measures the delay from the decision to start a run to its worker's confirmation. Rising delays
 * are the first sign that a cell is overloaded.
 */

/** Length of one measuring period in milliseconds. */
const PERIOD_MS = 250
/** Starts needed in a period, so that its median reflects the cell and not one worker or gang. */
const MIN_STARTS = 10

/**
 * The start delays of the current period.
 *
 * @internal
 */
export class StartDelays {
	private delays: number[] = []
	private since: number

	/** @param now - the start of the first period, on the leader's clock. */
	constructor(now: number) {
		this.since = now
	}

	/**
	 * Records a start that a worker has confirmed. @param delay - milliseconds since its decision.
	 */
	record(delay: number): void {
		this.delays.push(delay)
	}

	/**
	 * Ends the period once its time is over.
	 *
	 * @param now - the current time, on the leader's clock.
	 * @param awaited - ages in milliseconds of the starts that no worker has confirmed yet; they
	 * count too, as lower bounds of their delays.
	 * @returns the upper median of the delays in milliseconds, 0 if there were too few starts;
	 * undefined while the period lasts.
	 */
	takeMedian(now: number, awaited: () => Iterable<number>): number | undefined {
		if (now - this.since < PERIOD_MS) return undefined
		this.since = now
		const delays = [...this.delays, ...awaited()]
		this.delays = []
		return delays.length < MIN_STARTS ? 0 : upperMedianOf(delays)
	}
}

function upperMedianOf(numbers: number[]): number {
	numbers.sort((left, right) => left - right)
	return numbers[Math.floor(numbers.length / 2)]
}
