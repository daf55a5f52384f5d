/** What an instance has to work with, as its settings tell it. */

/** What an instance has; each is 0 where it is not known. @public */
export interface InstanceCapacity {
	/** Thousandths of a core. */
	readonly processor: number
	/** Megabytes. */
	readonly memory: number
	/** Megabits a second of its own link. */
	readonly link: number
}

/** Of an instance whose settings tell nothing. @public */
export const UNKNOWN_CAPACITY: InstanceCapacity = { processor: 0, memory: 0, link: 0 }

/** Bytes that a call under way may hold, buffers of its connection included. */
const CALL_MEMORY_BYTES = 64 * 1024
/** Share of the memory that calls may hold; the program itself needs the rest. */
const CALLS_MEMORY_SHARE = 0.25
/** Bytes of a call and its answer on the link. */
const CALL_BYTES = 4096
/** Seconds that callers wait for an answer: what the link can't carry in that time is of no use any more. */
const CALLER_TIMEOUT_S = 3

const BYTES_PER_MEGABYTE = 1024 * 1024
const BYTES_PER_MEGABIT = 125_000

/** @returns how many calls may be under way at an instance; infinite where it is not known. @internal */
export function maxCalls({ memory, link }: InstanceCapacity): number {
	const memoryLimit = (memory * BYTES_PER_MEGABYTE * CALLS_MEMORY_SHARE) / CALL_MEMORY_BYTES
	const linkLimit = (link * BYTES_PER_MEGABIT * CALLER_TIMEOUT_S) / CALL_BYTES
	return Math.min(memoryLimit || Number.POSITIVE_INFINITY, linkLimit || Number.POSITIVE_INFINITY)
}
