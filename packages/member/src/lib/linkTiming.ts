/** Timing of the links between instances. */

/** Milliseconds between two ticks of an instance. */
export const TICK_INTERVAL_MS = 20
/**
 * Milliseconds without a message after which a connection is replaced. A connection can stall for
 * good without being closed, and only a timeout detects that. Two tries fit into the 3 s in which
 * an instance must reconnect after a network cut; the timeout exceeds the pauses of a slow process.
 */
export const LINK_SILENCE_TIMEOUT_MS = 950
/**
 * Maximum milliseconds before a lost peer is dialled again. After a power loss, instances restart
 * within a third of a second of each other, and an instance without a link to a leader can't serve;
 * a try takes about 1 ms.
 */
export const MAX_REDIAL_DELAY_MS = 150
