/** Seeded random numbers, so that every simulation can be reproduced from its seed. */
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'

const FRACTION_STEPS = 0x7fffffff

/**
 * A seeded source of random numbers.
 *
 * @public
 */
export class Random {
	private readonly generator: RandomGenerator

	/** @param seed - any integer; the same seed gives the same sequence. */
	constructor(readonly seed: number) {
		this.generator = xoroshiro128plus(seed)
	}

	/**
	 * @param low - smallest value, inclusive.
	 * @param high - largest value, inclusive.
	 * @returns a uniformly distributed integer in this range.
	 */
	integer(low: number, high: number): number {
		return uniformInt(this.generator, low, high)
	}

	/** @returns a uniformly distributed number in [0, 1). */
	fraction(): number {
		return uniformInt(this.generator, 0, FRACTION_STEPS - 1) / FRACTION_STEPS
	}

	/**
	 * @param probability - from 0 to 1.
	 * @returns true with this probability.
	 */
	chance(probability: number): boolean {
		return this.fraction() < probability
	}

	/**
	 * @param items - at least one item.
	 * @returns one of the items, each with equal probability.
	 */
	pick<T>(items: readonly T[]): T {
		return items[this.integer(0, items.length - 1)]
	}

	/**
	 * @param mean - the mean of the exponential distribution, in the caller's unit.
	 * @returns a sample, such as the gap between two arrivals.
	 */
	exponential(mean: number): number {
		return -Math.log(1 - this.fraction()) * mean
	}
}
