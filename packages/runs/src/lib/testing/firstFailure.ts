/** Searches for a seeded run that fails. */

/**
 * @param runSeed - runs one seed; throws when a rule is broken.
 * @param maxSeeds - the number of seeds to try at most, starting from 1.
 * @param rule - matches the message of the expected failure; any failure if absent. Without a
 * mechanism a long run may break other rules than the expected one.
 * @returns the message of the first failure that matches `rule`, else of the last failure, or an
 * empty string if no seed failed.
 */
export function firstFailure(
	runSeed: (seed: number) => unknown,
	maxSeeds: number,
	rule = /./
): string {
	let failure = ''
	for (let seed = 1; seed <= maxSeeds; seed++) {
		try {
			runSeed(seed)
		} catch (fault) {
			failure = (fault as Error).message
			if (rule.test(failure)) return failure
		}
	}
	return failure
}
