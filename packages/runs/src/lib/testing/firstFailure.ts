/** Looks for a seeded run that fails. */

/**
 * @param play - plays the run of a seed; throws when it breaks a rule.
 * @param seeds - how many seeds are played at most, from 1.
 * @returns what the first seed that fails says, or an empty text when none does.
 */
export function firstFailure(play: (seed: number) => unknown, seeds: number): string {
	for (let seed = 1; seed <= seeds; seed++) {
		try {
			play(seed)
		} catch (fault) {
			return (fault as Error).message
		}
	}
	return ''
}
