/** Invariant checks, which are active in production as well as in tests. */
import { VError } from 'verror'

/** Name of the error that is thrown when an invariant is violated. @public */
export const INVARIANT_BROKEN = 'InvariantBroken'

/**
 * Throws if a condition that must always hold does not.
 *
 * @param holds - whether the condition holds.
 * @param rule - the condition, in words.
 * @param details - the observed values, kept as `info` of the error.
 * @throws VError named `InvariantBroken`; the process must stop when it catches it.
 * @public
 */
export function invariant(
	holds: boolean,
	rule: string,
	details: Record<string, unknown> = {}
): asserts holds {
	if (holds) return
	const text = `invariant broken: ${rule} ${JSON.stringify(details)}`
	throw new VError({ name: INVARIANT_BROKEN, info: details }, '%s', text)
}
