/** What a leader knows of one peer. */

/** How entries reach the peer. @public */
export const Mode = {
	/** Where its log matches is not known: one message at a time. */
	Probing: 'probing',
	/** Entries are sent ahead of the answers. */
	Streaming: 'streaming',
	/** It is so far behind that it is sent the snapshot. */
	Snapshot: 'snapshot',
} as const
/** One of the ways. @public */
export type Mode = (typeof Mode)[keyof typeof Mode]

/**
 * What a leader knows of one peer.
 *
 * @public
 */
export class Progress {
	/** Last index known to be lasting at the peer. */
	match = 0
	mode: Mode = Mode.Probing
	/** Offset of the next piece of the snapshot. */
	snapshotOffset = 0
	/** When a piece of the snapshot was last sent. */
	snapshotSentAt = Number.NEGATIVE_INFINITY
	/** When the latest message that it has answered was sent. */
	answeredSince = Number.NEGATIVE_INFINITY

	/** @param next - the index to send next. */
	constructor(public next: number) {}

	/** @param index - the peer's log matches up to here. */
	matched(index: number): void {
		this.match = Math.max(this.match, index)
		this.next = Math.max(this.next, this.match + 1)
		this.mode = Mode.Streaming
	}

	/** @param hint - the last index at which the peer's log may match. */
	rejected(hint: number): void {
		this.next = Math.max(this.match + 1, Math.min(this.next - 1, hint + 1))
		this.next = Math.max(1, this.next)
		this.mode = Mode.Probing
	}
}
