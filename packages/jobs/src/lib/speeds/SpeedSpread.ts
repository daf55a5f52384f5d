/**
 * Whether the speeds of workers differ so much that decisions have to heed them. Where they differ by a quarter, as between generations of
 * machines, packing them well is worth more than sorting them.
 */
import type { SpeedEstimate } from './estimateSpeeds'

/** Which part of the workers, from the slowest on, stands for the slowest quarter: its middle. */
const SLOWEST_RANK = 1 / 8
/** Standard errors by which each worker is taken to be faster than estimated: rough estimates alone make no spread. */
const ERROR_MARGIN = 1.5
/** Speed of the slowest quarter, as a share of the median, under which speeds are heeded. */
const DIFFERENT_BELOW = 0.65
/** The share from which they are no longer. */
const SIMILAR_ABOVE = 0.75
/** Share of the workers that must be known. */
const KNOWN_SHARE = 0.5
/** Workers that must be known at least: fewer have no slowest quarter to speak of. */
const MIN_KNOWN = 8

/** Why speeds are heeded or not. @internal */
export const SpreadReason = {
	/** Too few workers are known. */
	TooFewKnown: 'few-known',
	/** They are much alike. */
	Similar: 'alike',
	/** The slowest quarter is much slower than the median. */
	Different: 'differ',
} as const
/** One of the reasons. @internal */
export type SpreadReason = (typeof SpreadReason)[keyof typeof SpreadReason]

/**
 * How far the speeds of the workers are apart.
 *
 * @internal
 */
export class SpeedSpread {
	reason: SpreadReason = SpreadReason.TooFewKnown
	/** Speed of the slowest quarter as a share of the median; 1 while too few are known. */
	share = 1

	/** Whether decisions heed the speeds. */
	get isSignificant(): boolean {
		return this.reason === SpreadReason.Different
	}

	/**
	 * @param known - what is known of workers.
	 * @param workers - how many there are.
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
		const limit = this.isSignificant ? SIMILAR_ABOVE : DIFFERENT_BELOW
		return this.share < limit ? SpreadReason.Different : SpreadReason.Similar
	}
}

function shareOfSlowest(known: readonly SpeedEstimate[]): number {
	const logs = known.map(({ log, error }) => log + ERROR_MARGIN * error)
	logs.sort((left, right) => left - right)
	return Math.min(1, Math.exp(logs[Math.floor(logs.length * SLOWEST_RANK)]))
}
