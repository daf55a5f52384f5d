/** A value or a typed failure, for outcomes that a caller has to deal with. */

/** What went well. @public */
export interface Success<T> {
	readonly ok: true
	readonly value: T
}

/** What did not. @public */
export interface Failure<E> {
	readonly ok: false
	readonly error: E
}

/** Either of the two. @public */
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
 * @param error - the typed failure.
 * @returns a failure.
 * @public
 */
export function failure<E>(error: E): Failure<E> {
	return { ok: false, error }
}
