/**
 * A deterministic, evenly distributed hash of a text. It is not cryptographic: collisions are easy to
 * construct.
 */

const FACTOR = 31
const MODULUS = 1_000_003

/** @returns the hash, an integer from 0 to 1,000,002; equal texts have equal hashes. @public */
export function textHash(text: string): number {
	let hash = 0
	for (let index = 0; index < text.length; index++) {
		hash = (hash * FACTOR + text.charCodeAt(index)) % MODULUS
	}
	return hash
}
