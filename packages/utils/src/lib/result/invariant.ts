/** Invariants that the program holds itself to, in production as in tests. */
import { VError } from 'verror'

/** The name of the error that a broken invariant raises. @public */
export const INVARIANT_BROKEN = 'InvariantBroken'

/**
 * Ends the caller's step when something that must always hold does not.
 *
 * @param holds - whether it holds.
 * @param rule - what must hold, for people.
 * @param details - what was seen instead, kept as `info` of the error.
 * @throws VError named `InvariantBroken`; the process that sees it must stop rather than go on.
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
