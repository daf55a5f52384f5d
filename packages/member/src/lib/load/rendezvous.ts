/**
 * Weighted rendezvous hashing: each pair of a worker and a candidate has a score of its own, and the highest is chosen. So a candidate that
 * comes or goes moves only the workers that it gains or had.
 */
import { textHash } from '@rillrudder/utils'

/** One that can be chosen. @internal */
export interface Candidate {
	readonly id: string
	/** Its part of the workers, against the others' weights. */
	readonly weight: number
	/** Share from 0 to 1 of those workers that it keeps for now. */
	readonly kept: number
}

/** How scores are made. @internal */
export interface RendezvousOptions {
	/** Whether weights count; without them all candidates are taken as equal. */
	readonly weighted: boolean
}

/**
 * @param worker - id of the worker.
 * @param candidates - in the order in which equal scores are preferred.
 * @returns the candidate that is chosen; undefined for none.
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

/** Whether a worker is among those that a candidate keeps; what all give up alike, none does. */
function isKept(worker: string, { id, kept }: Candidate, maxKept: number): boolean {
	return kept >= maxKept || uniformHash(`${id} ${worker}`) < kept / maxKept
}

function unweightedScore(worker: string, { id }: Candidate): number {
	return textHash(`${worker} ${id}`)
}

function weightedScore(worker: string, { id, weight }: Candidate): number {
	return -weight / Math.log(uniformHash(`${worker} ${id}`))
}

/** @returns a number between 0 and 1; texts that differ in little have numbers that have nothing in common. */
function uniformHash(text: string): number {
	return (mixBits(textHash(text)) + 0.5) / 2 ** 32
}

/** The last step of MurmurHash3: every bit of the number changes every bit of the result. */
function mixBits(number: number): number {
	let bits = number
	bits = Math.imul(bits ^ (bits >>> 16), 0x85ebca6b)
	bits = Math.imul(bits ^ (bits >>> 13), 0xc2b2ae35)
	return (bits ^ (bits >>> 16)) >>> 0
}
