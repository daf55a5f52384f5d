/** Which process leads each data centre's group, as far as this entry instance knows, and its heartbeats. */
import { HEARTBEAT_INTERVAL_MS, LOAN_DURATION_MS, START_WINDOW_MS } from '@rillrudder/cell'
import type { Beat, Event, Loans } from '@rillrudder/protocol'
import type { GroupLayout } from '@rillrudder/settings'
import type { Clock, Timer } from '@rillrudder/utils'

/** A group that has not answered for so long cannot be reached, in milliseconds. */
const UNREACHABLE_AFTER = 3000
/** A leader that does not answer is looked for elsewhere after this. */
const LOOK_ELSEWHERE_AFTER = 600
/** Heartbeats go to another data centre's group for this long after they were last needed. */
const NEEDED_FOR = 60_000
const BEATS_KEPT = 64

/** What a heartbeat says besides its number. @internal */
export type BeatContent = Pick<Beat, 'wanted' | 'uses' | 'signs' | 'grant'>

/** What the groups work with. @internal */
export interface GroupsParts {
	readonly clock: Clock
	readonly dataCentre: string
	readonly incarnation: string
	readonly layouts: readonly GroupLayout[]
	readonly send: (to: string, event: Event) => boolean
	/** Content for the own data centre's leader. */
	readonly content: () => BeatContent
	readonly leaving: () => boolean
}

class Reach {
	leader: string
	term = 0
	heardAt: number
	triedAt: number
	neededAt: number

	constructor(
		readonly layout: GroupLayout,
		now: number
	) {
		this.leader = layout.voters[0]?.id ?? ''
		this.heardAt = now
		this.triedAt = now
		this.neededAt = now
	}
}

const NOTHING_TO_SAY: BeatContent = { wanted: 0, uses: [], signs: [], grant: 0 }

/**
 * The groups that this entry instance talks to.
 *
 * @internal
 */
export class Groups {
	private readonly reaches = new Map<string, Reach>()
	private readonly sentAt = new Map<number, number>()
	private sequence = 0
	private readonly timer: Timer

	constructor(private readonly parts: GroupsParts) {
		this.need(parts.dataCentre)
		this.timer = parts.clock.every(HEARTBEAT_INTERVAL_MS, () => this.beatAll())
	}

	/** Talks to a group from now on. */
	need(group: string): void {
		const now = this.parts.clock.now()
		const reach = this.reaches.get(group)
		if (reach) {
			reach.neededAt = now
			return
		}
		const layout = this.parts.layouts.find((one) => one.name === group)
		if (!layout) return
		this.reaches.set(group, new Reach(layout, now))
		this.beat(group)
	}

	/** The newest term of the group that is known here. */
	termOf(group: string): number {
		return this.reaches.get(group)?.term ?? 0
	}

	/** Whether the group has answered lately, or has not had time to. */
	isReachable(group: string): boolean {
		const reach = this.reaches.get(group)
		return reach !== undefined && this.parts.clock.now() - reach.heardAt < UNREACHABLE_AFTER
	}

	/** Sends to the group's leader. @returns whether it may have been sent. */
	send(group: string, event: Event): boolean {
		const reach = this.reaches.get(group)
		return reach !== undefined && this.parts.send(reach.leader, event)
	}

	/** Says a heartbeat at once, because something has changed that the leader should know. */
	beat(group: string): void {
		const reach = this.reaches.get(group)
		if (!reach) return
		const { clock, dataCentre, incarnation } = this.parts
		const own = group === dataCentre
		this.sequence += 1
		this.sentAt.set(this.sequence, clock.now())
		this.sentAt.delete(this.sequence - BEATS_KEPT)
		const value = {
			sequence: this.sequence,
			dataCentre,
			incarnation,
			group,
			leaving: this.parts.leaving(),
			...(own ? this.parts.content() : NOTHING_TO_SAY),
		}
		this.parts.send(reach.leader, { body: { $case: 'beat', value } })
	}

	/** Whether something that a leader said on this heartbeat may still be started. */
	mayStart(beat: number): boolean {
		const sent = this.sentAt.get(beat)
		return sent !== undefined && this.parts.clock.now() - sent < START_WINDOW_MS
	}

	/** Until when slots that were lent on this heartbeat may be used. */
	loanEnd(beat: number): number {
		return (this.sentAt.get(beat) ?? Number.NEGATIVE_INFINITY) + LOAN_DURATION_MS
	}

	/** A leader has answered. */
	heard(group: string, from: string, loans: Loans): void {
		const reach = this.reaches.get(group)
		if (!reach || loans.term < reach.term) return
		reach.leader = from
		reach.term = loans.term
		reach.heardAt = this.parts.clock.now()
		reach.triedAt = reach.heardAt
	}

	/** Somebody says who leads; empty when they don't know. */
	redirected(group: string, from: string, leader: string): void {
		const reach = this.reaches.get(group)
		if (!reach || reach.leader !== from) return
		const next = leader !== '' && leader !== from ? leader : this.after(reach, from)
		reach.leader = next
		reach.triedAt = this.parts.clock.now()
	}

	stop(): void {
		this.timer.cancel()
	}

	private beatAll(): void {
		const now = this.parts.clock.now()
		for (const [group, reach] of this.reaches) {
			const foreign = group !== this.parts.dataCentre
			if (foreign && now - reach.neededAt > NEEDED_FOR) {
				this.reaches.delete(group)
				continue
			}
			const silent = now - Math.max(reach.heardAt, reach.triedAt)
			if (silent > LOOK_ELSEWHERE_AFTER) {
				reach.leader = this.after(reach, reach.leader)
				reach.triedAt = now
			}
			this.beat(group)
		}
	}

	private after(reach: Reach, id: string): string {
		const voters = reach.layout.voters.map((voter) => voter.id)
		return voters[(voters.indexOf(id) + 1) % voters.length]
	}
}
