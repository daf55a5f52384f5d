/** The last part of the rule LOST: how long a task that lasts may be without a run. */
import { BOUNDS } from './cell.mjs'

/** "from 6 s after its last run". */
const FROM_MS = 6000
/** "for 3 s". */
const SPAN_MS = 3000
/** "if the 3 s and the 4 s before them are calm". */
const CALM_BEFORE_MS = 4000

/**
 * @param runs - all runs of one task, with `from` and `to`; a run that goes on has no `to`.
 * @param calmFrom - when the last disturbance had ended; `contactMs` is added.
 * @param now - until when was looked.
 * @returns when the rule was broken first, undefined if it held.
 */
export function firstBreak(runs, calmFrom, now) {
	const sorted = [...runs].sort((left, right) => left.from - right.from)
	const earliest = calmFrom + BOUNDS.contactMs + CALM_BEFORE_MS + SPAN_MS
	for (let index = 0; index < sorted.length; index++) {
		const { to } = sorted[index]
		if (to === undefined) return undefined
		const next = sorted[index + 1]?.from ?? now
		const at = Math.max(to + FROM_MS + SPAN_MS, earliest)
		if (next > at) return at
	}
	return undefined
}
