/** A hash of a text that spreads similar texts evenly. */
import { textHash } from './textHash'

const RANGE = 2 ** 32

/** @returns a number between 0 and 1; similar texts give unrelated numbers. @public */
export function uniformHash(text: string): number {
	return (mixBits(textHash(text)) + 0.5) / RANGE
}

/** The finalizer of MurmurHash3: every bit of the input affects every bit of the result. */
function mixBits(number: number): number {
	let bits = number
	bits = Math.imul(bits ^ (bits >>> 16), 0x85ebca6b)
	bits = Math.imul(bits ^ (bits >>> 13), 0xc2b2ae35)
	return (bits ^ (bits >>> 16)) >>> 0
}
