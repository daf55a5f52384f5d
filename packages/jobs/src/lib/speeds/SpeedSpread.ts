/**
 * Whether the speeds of workers differ enough for placement to take them into account. Where they
 * differ by a quarter, as between generations of machines, dense packing gains more than choosing
 * workers by speed.
 */
import type { SpeedEstimate } from './estimateSpeeds'

/** Quantile of the speeds that represents the slowest quarter: its middle. */
const SLOWEST_RANK = 1 / 8
/**
 * Standard errors that are added to each estimated speed, so that rough estimates alone don't count
 * as a spread.
 */
const ERROR_MARGIN = 1.5
/**
 * Speed of the slowest quarter, as a share of the median, below which the spread is
 * wide.
 */
const DIFFERENT_BELOW = 0.65
/** The share from which the spread is no longer wide; the gap is a hysteresis. */
const SIMILAR_ABOVE = 0.75
/** Share of the workers whose speed must be known. */
const KNOWN_SHARE = 0.5
/** Minimum number of workers whose speed is known: with fewer the slowest quarter means little. */
const MIN_KNOWN = 8

/** Why the spread is wide or not. @internal */
export const SpreadReason = {
	/** The speeds of too few workers are known. */
	TooFewKnown: 'few-known',
	/** The speeds are similar. */
	Similar: 'alike',
	/** The slowest quarter is much slower than the median. */
	Different: 'differ',
} as const
/** One of the reasons of {@link SpreadReason}. @internal */
export type SpreadReason = (typeof SpreadReason)[keyof typeof SpreadReason]

/**
 * The spread of the workers' speeds.
 *
 * @internal
 */
export class SpeedSpread {
	reason: SpreadReason = SpreadReason.TooFewKnown
	/** Speed of the slowest quarter as a share of the median; 1 while too few are known. */
	share = 1

	/** Whether placement takes speeds into account. */
	get isWide(): boolean {
		return this.reason === SpreadReason.Different
	}

	/**
	 * Compares the slowest quarter of the workers with the median.
	 *
	 * @param known - the estimates of the workers whose speed is known.
	 * @param workers - the number of all workers.
	 * @returns whether the reason has changed.
	 */
	update(known: readonly SpeedEstimate[], workers: number): boolean {
		const { reason } = this
		const enough = known.length >= Math.max(MIN_KNOWN, workers * KNOWN_SHARE)
		this.share = enough ? shareOfSlowest(known) : 1
		this.reason = enough ? this.compare() : SpreadReason.TooFewKnown
		return this.reason !== reason
	}

	private compare(): SpreadReason {
		const limit = this.isWide ? SIMILAR_ABOVE : DIFFERENT_BELOW
		return this.share < limit ? SpreadReason.Different : SpreadReason.Similar
	}
}

function shareOfSlowest(known: readonly SpeedEstimate[]): number {
	const logs = known.map(({ log, error }) => log + ERROR_MARGIN * error)
	logs.sort((left, right) => left - right)
	return Math.min(1, Math.exp(logs[Math.floor(logs.length * SLOWEST_RANK)]))
}
