/** What a leader knows of one peer. */

/** How entries reach the peer. @public */
export const ReplicationMode = {
	/** Where its log matches is not known: one message at a time. */
	Probing: 'probing',
	/** Entries are sent ahead of the answers. */
	Streaming: 'streaming',
	/** It is so far behind that it is sent the snapshot. */
	Snapshot: 'snapshot',
} as const
/** One of the ways. @public */
export type ReplicationMode = (typeof ReplicationMode)[keyof typeof ReplicationMode]

/**
 * What a leader knows of one peer.
 *
 * @public
 */
export class Progress {
	/** Last index known to be lasting at the peer. */
	match = 0
	mode: ReplicationMode = ReplicationMode.Probing
	/** Offset of the next piece of the snapshot. */
	snapshotOffset = 0
	/** When a piece of the snapshot was last sent. */
	snapshotSentAt = Number.NEGATIVE_INFINITY
	/** When the latest message that it has answered was sent. */
	answeredSentAt = Number.NEGATIVE_INFINITY

	/** @param next - the index to send next. */
	constructor(public next: number) {}

	/** @param index - the peer's log matches up to here. */
	onAccepted(index: number): void {
		this.match = Math.max(this.match, index)
		this.next = Math.max(this.next, this.match + 1)
		this.mode = ReplicationMode.Streaming
	}

	/** @param hint - the last index at which the peer's log may match. */
	onRejected(hint: number): void {
		this.next = Math.max(this.match + 1, Math.min(this.next - 1, hint + 1))
		this.next = Math.max(1, this.next)
		this.mode = ReplicationMode.Probing
	}
}
