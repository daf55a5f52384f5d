/** Tracks the leader of each data centre's group and sends heartbeats to it. */
import { HEARTBEAT_INTERVAL_MS, LOAN_DURATION_MS, START_WINDOW_MS } from '@rillrudder/cell'
import type { Beat, Event, Loans } from '@rillrudder/protocol'
import type { GroupLayout } from '@rillrudder/settings'
import type { Clock, Timer } from '@rillrudder/utils'

/** A group that has not replied for this long counts as unreachable. */
const UNREACHABLE_AFTER_MS = 3000
/** After this long without a reply the next voter is tried as leader. */
const LEADER_TIMEOUT_MS = 600
/** Heartbeats to another data centre's group stop this long after the group was last needed. */
const FOREIGN_GROUP_TTL_MS = 60_000
/** Number of recent heartbeats whose send times are kept. */
const MAX_TRACKED_BEATS = 64

/** The payload of a heartbeat: slot demand, slot use and worker observations. @internal */
export type BeatContent = Pick<Beat, 'wanted' | 'uses' | 'signs' | 'grant'>

/** Dependencies of `GroupConnections`. @internal */
export interface GroupConnectionsParts {
	readonly clock: Clock
	readonly dataCentre: string
	readonly incarnation: string
	readonly layouts: readonly GroupLayout[]
	readonly send: (to: string, event: Event) => boolean
	/** @returns the heartbeat payload for the leader of the own data centre. */
	readonly content: () => BeatContent
	readonly isLeaving: () => boolean
}

class GroupConnection {
	leader: string
	term = 0
	lastReplyAt: number
	leaderChosenAt: number
	lastNeededAt: number

	constructor(
		readonly layout: GroupLayout,
		now: number
	) {
		this.leader = layout.voters[0]?.id ?? ''
		this.lastReplyAt = now
		this.leaderChosenAt = now
		this.lastNeededAt = now
	}
}

const EMPTY_CONTENT: BeatContent = { wanted: 0, uses: [], signs: [], grant: 0 }

/**
 * The groups that this entry instance exchanges messages with.
 *
 * @internal
 */
export class GroupConnections {
	private readonly connections = new Map<string, GroupConnection>()
	private readonly sentAt = new Map<number, number>()
	private sequence = 0
	private readonly timer: Timer

	constructor(private readonly parts: GroupConnectionsParts) {
		this.connect(parts.dataCentre)
		this.timer = parts.clock.every(HEARTBEAT_INTERVAL_MS, () => this.sendBeats())
	}

	/** Starts sending heartbeats to a group, or extends the time for which they are sent. */
	connect(group: string): void {
		const now = this.parts.clock.now()
		const connection = this.connections.get(group)
		if (connection) {
			connection.lastNeededAt = now
			return
		}
		const layout = this.parts.layouts.find((one) => one.name === group)
		if (!layout) return
		this.connections.set(group, new GroupConnection(layout, now))
		this.sendBeat(group)
	}

	/** @returns the highest known term of the group; 0 if unknown. */
	termOf(group: string): number {
		return this.connections.get(group)?.term ?? 0
	}

	/** Whether the group replied recently, or was connected too recently to have replied. */
	isReachable(group: string): boolean {
		const connection = this.connections.get(group)
		return (
			connection !== undefined &&
			this.parts.clock.now() - connection.lastReplyAt < UNREACHABLE_AFTER_MS
		)
	}

	/** Sends an event to the group's leader. @returns false if it was certainly not sent. */
	send(group: string, event: Event): boolean {
		const connection = this.connections.get(group)
		return connection !== undefined && this.parts.send(connection.leader, event)
	}

	/** Sends a heartbeat immediately, without waiting for the next interval. */
	sendBeat(group: string): void {
		const connection = this.connections.get(group)
		if (!connection) return
		const { clock, dataCentre, incarnation } = this.parts
		const isOwn = group === dataCentre
		this.sequence += 1
		this.sentAt.set(this.sequence, clock.now())
		this.sentAt.delete(this.sequence - MAX_TRACKED_BEATS)
		const value = {
			sequence: this.sequence,
			dataCentre,
			incarnation,
			group,
			leaving: this.parts.isLeaving(),
			...(isOwn ? this.parts.content() : EMPTY_CONTENT),
		}
		this.parts.send(connection.leader, { body: { $case: 'beat', value } })
	}

	/** Whether work that a leader granted in reply to this heartbeat may still be started. */
	canStart(beat: number): boolean {
		const sent = this.sentAt.get(beat)
		return sent !== undefined && this.parts.clock.now() - sent < START_WINDOW_MS
	}

	/** @returns the time until which slots lent in reply to this heartbeat may be used. */
	loanEndOf(beat: number): number {
		return (this.sentAt.get(beat) ?? Number.NEGATIVE_INFINITY) + LOAN_DURATION_MS
	}

	/** Handles a leader's reply to a heartbeat; replies of earlier terms are ignored. */
	onLoans(group: string, from: string, loans: Loans): void {
		const connection = this.connections.get(group)
		if (!connection || loans.term < connection.term) return
		connection.leader = from
		connection.term = loans.term
		connection.lastReplyAt = this.parts.clock.now()
		connection.leaderChosenAt = connection.lastReplyAt
	}

	/** Handles a redirect to another leader; `leader` is empty if the sender doesn't know it. */
	onRedirect(group: string, from: string, leader: string): void {
		const connection = this.connections.get(group)
		if (!connection || connection.leader !== from) return
		const next = leader !== '' && leader !== from ? leader : this.nextVoter(connection, from)
		connection.leader = next
		connection.leaderChosenAt = this.parts.clock.now()
	}

	stop(): void {
		this.timer.cancel()
	}

	private sendBeats(): void {
		const now = this.parts.clock.now()
		for (const [group, connection] of this.connections) {
			const isForeign = group !== this.parts.dataCentre
			if (isForeign && now - connection.lastNeededAt > FOREIGN_GROUP_TTL_MS) {
				this.connections.delete(group)
				continue
			}
			const sinceContact = now - Math.max(connection.lastReplyAt, connection.leaderChosenAt)
			if (sinceContact > LEADER_TIMEOUT_MS) {
				connection.leader = this.nextVoter(connection, connection.leader)
				connection.leaderChosenAt = now
			}
			this.sendBeat(group)
		}
	}

	private nextVoter(connection: GroupConnection, id: string): string {
		const voters = connection.layout.voters.map((voter) => voter.id)
		return voters[(voters.indexOf(id) + 1) % voters.length]
	}
}
