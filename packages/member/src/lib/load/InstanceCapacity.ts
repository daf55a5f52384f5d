/** The capacity of an instance, from its settings. */

/** The capacity of an instance; a figure is 0 if unknown. @public */
export interface InstanceCapacity {
	/** Thousandths of a core. */
	readonly processor: number
	/** Megabytes. */
	readonly memory: number
	/** Megabits a second of its own link. */
	readonly link: number
}

/** The capacity of an instance whose settings don't state it. @public */
export const UNKNOWN_CAPACITY: InstanceCapacity = { processor: 0, memory: 0, link: 0 }

/** Bytes that a call in flight may hold, including the buffers of its connection. */
const CALL_MEMORY_BYTES = 64 * 1024
/** Share of the memory for calls; the program itself needs the rest. */
const CALLS_MEMORY_SHARE = 0.25
/** Bytes of a call and its answer on the link. */
const CALL_BYTES = 4096
/** Seconds that callers wait for an answer; later answers are useless. */
const CALLER_TIMEOUT_S = 3

const BYTES_PER_MEGABYTE = 1024 * 1024
const BYTES_PER_MEGABIT = 125_000

/**
 * @returns how many calls an instance can have in flight; infinite if its capacity is unknown.
 * @internal
 */
export function maxCalls({ memory, link }: InstanceCapacity): number {
	const memoryLimit = (memory * BYTES_PER_MEGABYTE * CALLS_MEMORY_SHARE) / CALL_MEMORY_BYTES
	const linkLimit = (link * BYTES_PER_MEGABIT * CALLER_TIMEOUT_S) / CALL_BYTES
	return Math.min(memoryLimit || Number.POSITIVE_INFINITY, linkLimit || Number.POSITIVE_INFINITY)
}
