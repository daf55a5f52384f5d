/** A hash of a text that spreads things evenly and always alike; of no use against people who mean harm. */

const FACTOR = 31
const MODULUS = 1_000_003

/** @returns a number from 0 to a million that is always the same for a text. @public */
export function textHash(text: string): number {
	let sum = 0
	for (let index = 0; index < text.length; index++) {
		sum = (sum * FACTOR + text.charCodeAt(index)) % MODULUS
	}
	return sum
}
