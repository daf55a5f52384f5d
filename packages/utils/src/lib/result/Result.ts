/** A value or a typed error, for outcomes that a caller has to handle. */

/** A successful outcome and its value. @public */
export interface Success<T> {
	readonly ok: true
	readonly value: T
}

/** A failed outcome and its error. @public */
export interface Failure<E> {
	readonly ok: false
	readonly error: E
}

/** A success or a failure. @public */
export type Result<T, E> = Success<T> | Failure<E>

/**
 * @param value - the value.
 * @returns a success.
 * @public
 */
export function success<T>(value: T): Success<T> {
	return { ok: true, value }
}

/**
 * @param error - the typed error.
 * @returns a failure.
 * @public
 */
export function failure<E>(error: E): Failure<E> {
	return { ok: false, error }
}
