/** Makes the compiler prove that a switch names every case. */

/**
 * @param value - what no case took; its type is `never` when every case is named.
 * @throws Error always, for values that came from outside the type system.
 * @public
 */
export function exhaustive(value: never): never {
	throw new Error(`unexpected case: ${JSON.stringify(value)}`)
}
