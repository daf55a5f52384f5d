/** Looks for a seeded run that fails. */

/**
 * @param play - plays the run of a seed; throws when it breaks a rule.
 * @param seeds - how many seeds are played at most, from 1.
 * @param rule - the rule that has to be broken; any if absent. What goes on for long without a mechanism may break others in other runs.
 * @returns what the first seed that breaks it says, else what the last one that failed does, or an empty text when none does.
 */
export function firstFailure(play: (seed: number) => unknown, seeds: number, rule = /./): string {
	let failure = ''
	for (let seed = 1; seed <= seeds; seed++) {
		try {
			play(seed)
		} catch (fault) {
			failure = (fault as Error).message
			if (rule.test(failure)) return failure
		}
	}
	return failure
}
