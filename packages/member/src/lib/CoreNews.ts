/** What a core instance tells everyone linked to it: who leads, who belongs to the core, and whether that is fresh. */
import type { Replica } from '@rillrudder/consensus'
import type { CellNews, LoadReport } from '@rillrudder/protocol'
import type { Clock } from '@rillrudder/utils'
import { ENTRY_TOLD_EVERY, LEADER_TELLS_EVERY } from './LeaderView'
import type { PeerLinks } from './PeerLinks'

/** Milliseconds since its last word for which a follower says that its leader is there. */
const LEADER_FRESH = 500

/** What telling needs of the instance. @internal */
export interface CoreNewsParts {
	/** Link address of the instance. */
	readonly self: string
	/** This life of the instance, unlike any other. */
	readonly life: string
	readonly clock: Clock
	readonly links: PeerLinks
	readonly replica: () => Replica
	/** How loaded this instance is. */
	readonly load: () => LoadReport
	/** Members of the core that are linked now, without this one. */
	readonly linkedMembers: () => readonly { readonly id: string }[]
}

/**
 * The news of a core instance.
 *
 * @internal
 */
export class CoreNews {
	private told = 0

	constructor(private readonly parts: CoreNewsParts) {}

	/** Tells news that are due, entry instances more seldom. */
	tellAgain(): void {
		const { replica, linkedMembers } = this.parts
		this.told += 1
		const every = replica().isLeader ? LEADER_TELLS_EVERY : ENTRY_TOLD_EVERY
		if (this.told % every === 0) this.tell()
		else this.tellTo(linkedMembers().map(({ id }) => id))
	}

	/** Tells everyone, since something has changed. */
	tell(): void {
		this.tellTo(this.parts.links.hub.connected)
	}

	private tellTo(peers: readonly string[]): void {
		const { self, clock, links } = this.parts
		const value = this.news()
		links.view.take(self, value, clock.now())
		if (value.fresh) links.leaderCalls.led()
		for (const peer of peers) links.hub.send(peer, { body: { $case: 'cellNews', value } })
	}

	private news(): CellNews {
		const replica = this.parts.replica()
		const { leader, term, members } = replica.status
		const now = this.parts.clock.now()
		const fresh = replica.isLeader
			? replica.holdsLease(now)
			: now - replica.leaderHeardAt < LEADER_FRESH
		const ids = members.map((member) => member.id)
		const sent = { life: this.parts.life, at: now }
		return { leader, term, members: ids, fresh, load: this.parts.load(), sent }
	}
}
