/** The effects that a replica asks its driver to carry out, in the required order. */
import type { Entry, GroupMessage, Membership } from '@rillrudder/protocol'

/** The state besides the entries that must survive a restart. @public */
export interface HardState {
	readonly term: number
	/** The candidate that got this replica's vote in that term; empty for none. */
	readonly votedFor: string
	/** Lower bound of the commit index; absent in records of earlier versions. */
	readonly commit?: number
}

/** The state up to an index, which replaces the entries up to it. @public */
export interface Snapshot {
	readonly index: number
	readonly term: number
	readonly membership: Membership
	readonly data: Uint8Array
}

/** A message and its recipient. @public */
export interface Envelope {
	readonly to: string
	readonly message: GroupMessage
}

/**
 * The effects of one step. The driver sends `immediate` at once; writes `hardState`, `snapshot` and
 * `entries` to disk with one sync; then sends `afterSync` and calls `Replica.onPersisted`. It applies
 * `committed` in order, after restoring `snapshot` where there is one.
 *
 * @public
 */
export interface Output {
	readonly hardState?: HardState
	readonly snapshot?: Snapshot
	/** Entries to store; the first one replaces whatever is stored from its index on. */
	readonly entries: Entry[]
	readonly immediate: Envelope[]
	readonly afterSync: Envelope[]
	readonly committed: Entry[]
}
