/** The spans of links between instances, in milliseconds. */

/** Between two ticks of an instance. */
export const TICK_INTERVAL_MS = 20
/**
 * Silence after which a connection is replaced: a connection may go silent for good without an end, and only this shows
 * it. Shorter than the 3 s in which an instance must be back in touch after a cut, with two tries in it; longer than the
 * pauses of a slow process.
 */
export const LINK_SILENCE_TIMEOUT_MS = 950
/**
 * Longest pause before a lost peer is dialled again. After a loss of power instances come back within a third
 * of a second of each other, and whoever has no link to a leader can't serve; a try takes about 1 ms.
 */
export const MAX_REDIAL_DELAY_MS = 150
