/** The follower role: stores entries and snapshots from the leader. */
import type { Append, Entry, SnapshotPiece } from '@rillrudder/protocol'
import { invariant } from '@rillrudder/utils'
import { Role, type ReplicaState } from './ReplicaState'

/**
 * Handles what the leader sends and replies to it.
 *
 * @internal
 */
export class FollowerRole {
	private pieces: Uint8Array[] = []
	private piecesIndex = 0
	private piecesLength = 0

	constructor(
		private readonly state: ReplicaState,
		private readonly resetElectionTimeout: (now: number) => void
	) {}

	/** Appends the leader's entries; the reply is sent once they are on disk. */
	onAppend(from: string, append: Append, now: number): void {
		this.acceptLeader(from, now)
		const { log } = this.state
		const round = append.round
		if (append.previousIndex > log.lastIndex) {
			this.replyToAppend(from, false, log.lastIndex, round)
			return
		}
		const known = log.termAt(append.previousIndex)
		const compacted = append.previousIndex < log.firstIndex - 1
		if (!compacted && known !== append.previousTerm) {
			this.replyToAppend(from, false, this.lastIndexBeforeTermOf(append.previousIndex), round)
			return
		}
		const last = append.previousIndex + append.entries.length
		for (const entry of append.entries) this.storeEntry(entry)
		this.state.commitTo(Math.max(this.state.commit, Math.min(append.commit, last)))
		this.replyToAppend(from, true, last, round)
	}

	/** Stores a piece of a snapshot and installs the snapshot once it is complete. */
	onSnapshotPiece(from: string, piece: SnapshotPiece, now: number): void {
		this.acceptLeader(from, now)
		if (piece.index <= this.state.commit) {
			this.replyToPiece(from, piece, true)
			return
		}
		if (piece.offset === 0 || piece.index !== this.piecesIndex) this.startSnapshot(piece.index)
		if (piece.offset === this.piecesLength) {
			this.pieces.push(piece.data)
			this.piecesLength += piece.data.length
			if (piece.last) {
				this.installSnapshot(piece)
				this.replyToPiece(from, piece, true)
				return
			}
		}
		this.replyToPiece(from, piece, false)
	}

	private acceptLeader(from: string, now: number): void {
		const { state } = this
		invariant(state.role !== Role.Leader, 'one leader per term', { term: state.term, from })
		invariant(state.leader === '' || state.leader === from, 'one leader per term', {
			term: state.term,
			known: state.leader,
			from,
		})
		state.role = Role.Follower
		state.leader = from
		state.leaderHeardAt = now
		state.hasKnownLeader = true
		this.resetElectionTimeout(now)
	}

	private storeEntry(entry: Entry): void {
		const { log } = this.state
		if (entry.index < log.firstIndex) return
		if (entry.index <= log.lastIndex) {
			if (log.termAt(entry.index) === entry.term) return
			this.state.truncateAfter(entry.index - 1)
		}
		this.state.append(entry)
	}

	/** Skips a whole term at a time, so that a long divergence is resolved in few messages. */
	private lastIndexBeforeTermOf(index: number): number {
		const { log } = this.state
		const term = log.termAt(index)
		let at = index
		while (at > this.state.commit && log.termAt(at) === term) at -= 1
		return at
	}

	private startSnapshot(index: number): void {
		this.pieces = []
		this.piecesIndex = index
		this.piecesLength = 0
	}

	private installSnapshot(piece: SnapshotPiece): void {
		invariant(piece.membership !== undefined, 'a snapshot contains its membership')
		this.state.install({
			index: piece.index,
			term: piece.term,
			membership: piece.membership,
			data: Buffer.concat(this.pieces),
		})
		this.startSnapshot(0)
	}

	private replyToAppend(to: string, accepted: boolean, index: number, round: number): void {
		this.state.sendAfterSync(to, { $case: 'appendReply', value: { accepted, index, round } })
	}

	private replyToPiece(to: string, piece: SnapshotPiece, installed: boolean): void {
		const value = {
			index: piece.index,
			offset: this.piecesIndex === piece.index ? this.piecesLength : 0,
			installed,
			round: piece.round,
		}
		this.state.sendAfterSync(to, { $case: 'snapshotReply', value })
	}
}
