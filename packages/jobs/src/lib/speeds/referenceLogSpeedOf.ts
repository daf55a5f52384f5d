/** The reference that relative speeds are measured against: the speed of the median worker. */

/** Distance from the reference, as a logarithm, within which workers count as equally fast. */
const MAX_DISTANCE = 0.2
/** How often the reference is moved to the mean of the workers near it. */
const ITERATIONS = 3

/**
 * Where many workers are slow and all estimates are rough, the median of the estimates is biased
 * against the median of the speeds; the mean of the estimates near it is not.
 *
 * @param logs - logarithms of the speeds of workers.
 * @returns the logarithm of the reference speed.
 * @internal
 */
export function referenceLogSpeedOf(logs: readonly number[]): number {
	let reference = medianOf(logs)
	for (let iteration = 0; iteration < ITERATIONS; iteration++) {
		const near = logs.filter((log) => Math.abs(log - reference) <= MAX_DISTANCE)
		if (near.length > 0) reference = near.reduce((sum, log) => sum + log, 0) / near.length
	}
	return reference
}

function medianOf(values: readonly number[]): number {
	if (values.length === 0) return 0
	const sorted = [...values].sort((left, right) => left - right)
	const middle = Math.floor(sorted.length / 2)
	return sorted.length % 2 === 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2
}
