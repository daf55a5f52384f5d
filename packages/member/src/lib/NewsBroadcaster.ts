/** What a core instance tells everyone linked to it: who leads, who belongs to the core, and whether that is fresh. */
import type { Replica } from '@rillrudder/consensus'
import type { CellNews, LoadReport } from '@rillrudder/protocol'
import type { Clock } from '@rillrudder/utils'
import { ENTRY_NEWS_EVERY, LEADER_NEWS_EVERY } from './LeaderView'
import type { PeerLinks } from './PeerLinks'

/** Milliseconds since its last word for which a follower says that its leader is there. */
const LEADER_CONTACT_TTL_MS = 500

/** What telling needs of the instance. @internal */
export interface NewsBroadcasterParts {
	/** Link address of the instance. */
	readonly self: string
	/** This life of the instance, unlike any other. */
	readonly incarnation: string
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
export class NewsBroadcaster {
	private rounds = 0

	constructor(private readonly parts: NewsBroadcasterParts) {}

	/** Tells news that are due, entry instances more seldom. */
	broadcastPeriodically(): void {
		const { replica, linkedMembers } = this.parts
		this.rounds += 1
		const every = replica().leads ? LEADER_NEWS_EVERY : ENTRY_NEWS_EVERY
		if (this.rounds % every === 0) this.broadcast()
		else this.sendTo(linkedMembers().map(({ id }) => id))
	}

	/** Tells everyone, since something has changed. */
	broadcast(): void {
		this.sendTo(this.parts.links.hub.connected)
	}

	private sendTo(peers: readonly string[]): void {
		const { self, clock, links } = this.parts
		const value = this.currentNews()
		links.view.update(self, value, clock.now())
		if (value.fresh) links.leaderCalls.onLeaderKnown()
		for (const peer of peers) links.hub.send(peer, { body: { $case: 'cellNews', value } })
	}

	private currentNews(): CellNews {
		const replica = this.parts.replica()
		const { leader, term, members } = replica.status
		const now = this.parts.clock.now()
		const fresh = replica.leads
			? replica.holdsLease(now)
			: now - replica.leaderHeardAt < LEADER_CONTACT_TTL_MS
		const ids = members.map((member) => member.id)
		const sent = { life: this.parts.incarnation, at: now }
		return { leader, term, members: ids, fresh, load: this.parts.load(), sent }
	}
}
