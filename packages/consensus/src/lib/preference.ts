/** Who leads a group rather than whom: local voters first, and of those the ones with a disk. */

/** What preference looks at. @internal */
export interface PreferredCandidate {
	readonly id: string
	readonly durable: boolean
	readonly local: boolean
}

/** @returns a rank; a higher one leads rather than a lower one. @internal */
export function preferenceOf(candidate: PreferredCandidate): number {
	return (candidate.local ? 2 : 0) + (candidate.durable ? 1 : 0)
}

/** Orders the preferred first, and equals by name. @internal */
export function byPreference(left: PreferredCandidate, right: PreferredCandidate): number {
	return preferenceOf(right) - preferenceOf(left) || left.id.localeCompare(right.id)
}
