/**
 * Weighted rendezvous hashing: each pair of a worker and a candidate has its own score, and the
 * highest is chosen. A candidate that joins or leaves thus moves only the workers that it gains or
 * had.
 */
import { textHash, uniformHash } from '@rillrudder/utils'

/** A candidate for a worker. @internal */
export interface Candidate {
	readonly id: string
	/** Weight relative to the other candidates: its share of the workers. */
	readonly weight: number
	/** Share from 0 to 1 of those workers that it keeps at the moment. */
	readonly kept: number
}

/** Options of the score. @internal */
export interface RendezvousOptions {
	/** Whether weights count; otherwise all candidates are equal. */
	readonly weighted: boolean
}

/**
 * Chooses the candidate for a worker.
 *
 * @param worker - id of the worker.
 * @param candidates - in the order in which equal scores are preferred.
 * @returns the chosen candidate; undefined if there is none.
 * @internal
 */
export function choose(
	worker: string,
	candidates: readonly Candidate[],
	{ weighted }: RendezvousOptions
): Candidate | undefined {
	const score = weighted ? weightedScore : unweightedScore
	const maxKept = Math.max(...candidates.map(({ kept }) => kept))
	let best: Candidate | undefined
	let bestScore = 0
	for (const candidate of candidates) {
		if (!isKept(worker, candidate, maxKept)) continue
		const candidateScore = score(worker, candidate)
		if (best && candidateScore <= bestScore) continue
		best = candidate
		bestScore = candidateScore
	}
	return best
}

/**
 * Whether a candidate keeps a worker. Shares are relative to the largest one: if all are reduced
 * alike, nothing moves.
 */
function isKept(worker: string, { id, kept }: Candidate, maxKept: number): boolean {
	return kept >= maxKept || uniformHash(`${id} ${worker}`) < kept / maxKept
}

function unweightedScore(worker: string, { id }: Candidate): number {
	return textHash(`${worker} ${id}`)
}

function weightedScore(worker: string, { id, weight }: Candidate): number {
	return -weight / Math.log(uniformHash(`${worker} ${id}`))
}
