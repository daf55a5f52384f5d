/** Which speed counts as 1: that of the median worker. */

/** How far from the median worker others are taken to be as fast as it, as a logarithm. */
const LEVEL_REACH = 0.2
/** How often the level is brought nearer to the middle of these. */
const LEVEL_ROUNDS = 3

/**
 * The median of estimates lies beside that of the speeds where many workers are slow and all estimates are rough; the
 * mean of those near it does not.
 *
 * @param logs - logarithms of the speeds of workers.
 * @returns that of the speed which counts as 1.
 * @internal
 */
export function referenceLogSpeedOf(logs: readonly number[]): number {
	let level = medianOf(logs)
	for (let round = 0; round < LEVEL_ROUNDS; round++) {
		const near = logs.filter((log) => Math.abs(log - level) <= LEVEL_REACH)
		if (near.length > 0) level = near.reduce((sum, log) => sum + log, 0) / near.length
	}
	return level
}

function medianOf(values: readonly number[]): number {
	if (values.length === 0) return 0
	const sorted = [...values].sort((left, right) => left - right)
	const middle = Math.floor(sorted.length / 2)
	return sorted.length % 2 === 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2
}
