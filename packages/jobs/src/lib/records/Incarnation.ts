/**
 * One life of a worker. A worker may start again under the name that it had; it then knows nothing of before, and all that it
 * counts starts anew. So whatever is kept of a worker is kept by its incarnation, never by its name alone. Its id as text is
 * made here and nowhere else; people find the worker by the name that the id begins with.
 */

/** One life of a worker. @public */
export interface Incarnation {
	/** What it calls itself, the same in each life. */
	readonly name: string
	/** When it started, milliseconds since the epoch by its own calendar; absent where workers do not say. */
	readonly born?: number
}

/** Between name and moment of start; no name of a worker has it. @public */
export const INCARNATION_SEPARATOR = '@'

/** @returns the id of a life as text; `parseIncarnation` reads it back. @public */
export function formatIncarnation({ name, born }: Incarnation): string {
	return born === undefined ? name : `${name}${INCARNATION_SEPARATOR}${born}`
}

/** @returns the life that an id names. @public */
export function parseIncarnation(id: string): Incarnation {
	const at = id.indexOf(INCARNATION_SEPARATOR)
	if (at < 0) return { name: id }
	return { name: id.slice(0, at), born: Number(id.slice(at + 1)) }
}

/** @returns what the worker of an id calls itself. @public */
export function workerNameOf(id: string): string {
	return parseIncarnation(id).name
}

/**
 * @param expected - when the worker that was meant started; undefined when that is not known.
 * @param answered - when the one that answered did; undefined when it did not say.
 * @returns whether another life answered. Which of two is the later one can't be told from these moments: calendars are set.
 * @public
 */
export function isOtherIncarnation(
	expected: number | undefined,
	answered: number | undefined
): boolean {
	return expected !== undefined && answered !== undefined && expected !== answered
}
