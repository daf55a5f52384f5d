/** Ranks candidates for leadership: local voters first, then those with a disk. */

/** The properties that decide the rank. @internal */
export interface PreferredCandidate {
	readonly id: string
	readonly durable: boolean
	readonly local: boolean
}

/** @returns the rank of a candidate; the highest is preferred as leader. @internal */
export function preferenceOf(candidate: PreferredCandidate): number {
	return (candidate.local ? 2 : 0) + (candidate.durable ? 1 : 0)
}

/** Orders candidates by descending rank, then by id. @internal */
export function byPreference(left: PreferredCandidate, right: PreferredCandidate): number {
	return preferenceOf(right) - preferenceOf(left) || left.id.localeCompare(right.id)
}
