/** What a replica asks its driver to do, in the order in which it must be done. */
import type { Entry, GroupMessage, Membership } from '@rillrudder/protocol'

/** What must survive a restart besides the entries. @public */
export interface HardState {
	readonly term: number
	/** Who got this replica's vote in that term; empty for nobody. */
	readonly votedFor: string
	/** An index known to be committed then; a lower bound, absent in records of earlier versions. */
	readonly commit?: number
}

/** The state up to an index, in place of the entries up to it. @public */
export interface Snapshot {
	readonly index: number
	readonly term: number
	readonly membership: Membership
	readonly data: Uint8Array
}

/** A message and the instance it is for. @public */
export interface Envelope {
	readonly to: string
	readonly message: GroupMessage
}

/**
 * One step's effects. The driver sends `early` at once; makes `hardState`, `snapshot` and `entries`
 * lasting with one sync; then sends `late` and calls `Replica.persisted`. It applies `committed` in
 * order, after restoring `snapshot` where there is one.
 *
 * @public
 */
export interface Output {
	readonly hardState?: HardState
	readonly snapshot?: Snapshot
	/** Entries to store; the first one replaces whatever was stored at its index and after. */
	readonly entries: Entry[]
	readonly immediate: Envelope[]
	readonly afterSync: Envelope[]
	readonly committed: Entry[]
}
