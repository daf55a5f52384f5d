/**
 * Incarnations of workers. A worker may restart under the same name; it then has lost its state,
 * and all of its counters start again. So everything stored about a worker is keyed by its
 * incarnation, never by its name alone. Incarnation ids are formatted and parsed only here; they
 * start with the worker's name, so that operators recognise the worker.
 */

/** One incarnation of a worker: the time from its start to its end. @public */
export interface Incarnation {
	/** Name of the worker, the same in each incarnation. */
	readonly name: string
	/**
	 * When it started, milliseconds since the epoch by its own wall clock; absent where workers do
	 * not report it.
	 */
	readonly born?: number
}

/** Separates the name from the start time; never part of a worker name. @public */
export const INCARNATION_SEPARATOR = '@'

/** @returns the id of an incarnation; `parseIncarnation` is the inverse. @public */
export function formatIncarnation({ name, born }: Incarnation): string {
	return born === undefined ? name : `${name}${INCARNATION_SEPARATOR}${born}`
}

/** @returns the incarnation that an id names. @public */
export function parseIncarnation(id: string): Incarnation {
	const at = id.indexOf(INCARNATION_SEPARATOR)
	if (at < 0) return { name: id }
	return { name: id.slice(0, at), born: Number(id.slice(at + 1)) }
}

/** @returns the worker's name in the id of an incarnation. @public */
export function workerNameOf(id: string): string {
	return parseIncarnation(id).name
}

/**
 * @param expected - start time of the incarnation that was addressed; undefined when unknown.
 * @param answered - start time of the one that answered; undefined when it was not reported.
 * @returns whether another incarnation answered. The times do not show which of two is the later
 * one, since wall clocks can be changed.
 * @public
 */
export function isOtherIncarnation(
	expected: number | undefined,
	answered: number | undefined
): boolean {
	return expected !== undefined && answered !== undefined && expected !== answered
}
