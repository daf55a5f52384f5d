/** Replication progress of one peer, as its leader sees it. */

/** How entries are replicated to a peer. @public */
export const ReplicationMode = {
	/** The last matching index is unknown: one message at a time. */
	Probing: 'probing',
	/** Entries are pipelined without waiting for the answers. */
	Streaming: 'streaming',
	/** The entries it needs are compacted, so it is sent the snapshot. */
	Snapshot: 'snapshot',
} as const
/** A replication mode. @public */
export type ReplicationMode = (typeof ReplicationMode)[keyof typeof ReplicationMode]

/**
 * Replication progress of one peer.
 *
 * @public
 */
export class Progress {
	/** Last index known to be on the peer's disk. */
	match = 0
	mode: ReplicationMode = ReplicationMode.Probing
	/** Byte offset of the next piece of the snapshot. */
	snapshotOffset = 0
	/** When a piece of the snapshot was last sent. */
	snapshotSentAt = Number.NEGATIVE_INFINITY
	/** When the latest message that it has answered was sent. */
	answeredSentAt = Number.NEGATIVE_INFINITY

	/** @param next - the index to send next. */
	constructor(public next: number) {}

	/** @param index - the last index up to which the peer's log matches. */
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
