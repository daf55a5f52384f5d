/** The entry instances known to a leader, each incarnation with its newest heartbeat. */
import type { Beat } from '@rillrudder/protocol'

/** One incarnation of an entry instance. @public */
export interface EntryIncarnation {
	/** Instance id and incarnation, as formatted by `incarnationIdOf`. */
	readonly incarnationId: string
	/** The process to send to. */
	readonly id: string
	readonly incarnation: string
	/** Monotonic milliseconds. */
	lastHeartbeatAt: number
	/** Highest sequence number among the heartbeats received. */
	heartbeatSequence: number
	/** Requests that wait for a slot on this instance. */
	wanted: number
	leaving: boolean
}

/**
 * @param id - id of an entry instance.
 * @param incarnation - one of its incarnations.
 * @returns an id that is unique to this incarnation.
 * @public
 */
export function incarnationIdOf(id: string, incarnation: string): string {
	return `${id}#${incarnation}`
}

/**
 * Tracks the incarnations of entry instances that send heartbeats to this leader.
 *
 * @internal
 */
export class EntryIncarnations {
	private readonly known = new Map<string, EntryIncarnation>()
	private readonly current = new Map<string, EntryIncarnation>()
	/**
	 * Incarnations that the log names but that have sent no heartbeat to this leader, with the time of
	 * the first query for each.
	 */
	private readonly firstQueriedAt = new Map<string, number>()

	/**
	 * Records a heartbeat.
	 *
	 * @returns the sender's incarnation, and the incarnation that it replaces, if any.
	 */
	onHeartbeat(
		id: string,
		beat: Beat,
		now: number
	): { holder: EntryIncarnation; replaced?: EntryIncarnation } {
		const incarnationId = incarnationIdOf(id, beat.incarnation)
		const known = this.known.get(incarnationId)
		this.firstQueriedAt.delete(incarnationId)
		if (known) {
			known.lastHeartbeatAt = now
			known.heartbeatSequence = Math.max(known.heartbeatSequence, beat.sequence)
			known.wanted = beat.wanted
			known.leaving = beat.leaving
			return { holder: known }
		}
		const replaced = this.current.get(id)
		if (replaced) this.known.delete(replaced.incarnationId)
		const { sequence, wanted, leaving, incarnation } = beat
		const holder = {
			incarnationId,
			id,
			incarnation,
			lastHeartbeatAt: now,
			heartbeatSequence: sequence,
			wanted,
			leaving,
		}
		this.known.set(incarnationId, holder)
		this.current.set(id, holder)
		return { holder, replaced }
	}

	/** @returns the current incarnation of a process. */
	currentOf(id: string): EntryIncarnation | undefined {
		return this.current.get(id)
	}

	/** @returns an incarnation that has sent a heartbeat to this leader. */
	find(incarnationId: string): EntryIncarnation | undefined {
		return this.known.get(incarnationId)
	}

	/** All incarnations that have sent a heartbeat to this leader. */
	all(): IterableIterator<EntryIncarnation> {
		return this.known.values()
	}

	/** Number of incarnations that have sent a heartbeat to this leader. */
	get size(): number {
		return this.known.size
	}

	/**
	 * @param incarnationId - an incarnation that the log names.
	 * @param now - monotonic milliseconds.
	 * @returns the time of its last heartbeat; for an incarnation without one, the time of the first
	 * query.
	 */
	lastHeartbeatOf(incarnationId: string, now: number): number {
		const known = this.known.get(incarnationId)
		if (known) return known.lastHeartbeatAt
		const since = this.firstQueriedAt.get(incarnationId) ?? now
		this.firstQueriedAt.set(incarnationId, since)
		return since
	}

	/** Removes an incarnation that has certainly ended. */
	forget(incarnationId: string): void {
		const known = this.known.get(incarnationId)
		this.known.delete(incarnationId)
		if (known && this.current.get(known.id) === known) this.current.delete(known.id)
	}

	/** Discards all incarnations when leadership ends. */
	clear(): void {
		this.known.clear()
		this.current.clear()
		this.firstQueriedAt.clear()
	}
}
