/** A follower's part: taking entries and snapshots from the leader. */
import type { Append, Entry, SnapshotPiece } from '@rillrudder/protocol'
import { invariant } from '@rillrudder/utils'
import { Role, type ReplicaState } from './ReplicaState'

/**
 * The part of a replica that follows a leader.
 *
 * @internal
 */
export class FollowerRole {
	private pieces: Uint8Array[] = []
	private piecesIndex = 0
	private piecesLength = 0

	constructor(
		private readonly state: ReplicaState,
		private readonly resetElection: (now: number) => void
	) {}

	/** Takes entries; answers once they are lasting. */
	append(from: string, append: Append, now: number): void {
		this.hear(from, now)
		const { log } = this.state
		const round = append.round
		if (append.previousIndex > log.lastIndex) {
			this.reply(from, false, log.lastIndex, round)
			return
		}
		const known = log.termAt(append.previousIndex)
		const compacted = append.previousIndex < log.firstIndex - 1
		if (!compacted && known !== append.previousTerm) {
			this.reply(from, false, this.beforeTerm(append.previousIndex), round)
			return
		}
		const last = append.previousIndex + append.entries.length
		for (const entry of append.entries) this.take(entry)
		this.state.commitTo(Math.max(this.state.commit, Math.min(append.commit, last)))
		this.reply(from, true, last, round)
	}

	/** Takes a piece of a snapshot; installs the snapshot when it is whole. */
	piece(from: string, piece: SnapshotPiece, now: number): void {
		this.hear(from, now)
		if (piece.index <= this.state.commit) {
			this.replyPiece(from, piece, true)
			return
		}
		if (piece.offset === 0 || piece.index !== this.piecesIndex) this.begin(piece.index)
		if (piece.offset === this.piecesLength) {
			this.pieces.push(piece.data)
			this.piecesLength += piece.data.length
			if (piece.last) {
				this.install(piece)
				this.replyPiece(from, piece, true)
				return
			}
		}
		this.replyPiece(from, piece, false)
	}

	private hear(from: string, now: number): void {
		const { state } = this
		invariant(state.role !== Role.Leader, 'one leader a term', { term: state.term, from })
		invariant(state.leader === '' || state.leader === from, 'one leader a term', {
			term: state.term,
			known: state.leader,
			from,
		})
		state.role = Role.Follower
		state.leader = from
		state.leaderHeardAt = now
		state.knewLeader = true
		this.resetElection(now)
	}

	private take(entry: Entry): void {
		const { log } = this.state
		if (entry.index < log.firstIndex) return
		if (entry.index <= log.lastIndex) {
			if (log.termAt(entry.index) === entry.term) return
			this.state.truncateAfter(entry.index - 1)
		}
		this.state.append(entry)
	}

	/** Steps back over a whole term at a time, so that a long divergence costs few messages. */
	private beforeTerm(index: number): number {
		const { log } = this.state
		const term = log.termAt(index)
		let at = index
		while (at > this.state.commit && log.termAt(at) === term) at -= 1
		return at
	}

	private begin(index: number): void {
		this.pieces = []
		this.piecesIndex = index
		this.piecesLength = 0
	}

	private install(piece: SnapshotPiece): void {
		invariant(piece.membership !== undefined, 'a snapshot names its membership')
		this.state.install({
			index: piece.index,
			term: piece.term,
			membership: piece.membership,
			data: Buffer.concat(this.pieces),
		})
		this.begin(0)
	}

	private reply(to: string, accepted: boolean, index: number, round: number): void {
		this.state.sendAfterSync(to, { $case: 'appendReply', value: { accepted, index, round } })
	}

	private replyPiece(to: string, piece: SnapshotPiece, installed: boolean): void {
		const value = {
			index: piece.index,
			offset: this.piecesIndex === piece.index ? this.piecesLength : 0,
			installed,
			round: piece.round,
		}
		this.state.sendAfterSync(to, { $case: 'snapshotReply', value })
	}
}
