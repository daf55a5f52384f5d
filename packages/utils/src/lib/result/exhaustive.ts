/** Exhaustiveness check for switch statements. */

/**
 * Makes the compiler check that a switch handles every case.
 *
 * @param value - the unhandled value; its type is `never` if every case is handled.
 * @throws Error always, since only a value that bypassed the type system gets here.
 * @public
 */
export function exhaustive(value: never): never {
	throw new Error(`unexpected case: ${JSON.stringify(value)}`)
}
