/**
 * Broadcasts a core instance's news to its linked peers: the leader, the members of the core, and
 * whether the leader is in contact.
 */
import type { Replica } from '@rillrudder/consensus'
import type { CellNews, LoadReport } from '@rillrudder/protocol'
import type { Clock } from '@rillrudder/utils'
import { ENTRY_NEWS_EVERY, LEADER_NEWS_EVERY } from './LeaderView'
import type { PeerLinks } from './PeerLinks'

/** Milliseconds since the leader's last message for which a follower reports it as in contact. */
const LEADER_CONTACT_TTL_MS = 500

/** Dependencies of a news broadcaster. @internal */
export interface NewsBroadcasterParts {
	/** Link address of the instance. */
	readonly self: string
	/** Unique id of this start of the instance. */
	readonly incarnation: string
	readonly clock: Clock
	readonly links: PeerLinks
	readonly replica: () => Replica
	/** The load of this instance. */
	readonly load: () => LoadReport
	/** Whether entry instances send their calls through members that do not lead. */
	readonly isRelayed: () => boolean
	/** Members of the core that are linked at the moment, without this one. */
	readonly linkedMembers: () => readonly { readonly id: string }[]
}

/**
 * Broadcasts the news of a core instance.
 *
 * @internal
 */
export class NewsBroadcaster {
	private rounds = 0

	constructor(private readonly parts: NewsBroadcasterParts) {}

	/** Sends the periodic news; entry instances get only some of them. */
	broadcastPeriodically(): void {
		const { replica, linkedMembers } = this.parts
		this.rounds += 1
		const every = replica().isLeader ? LEADER_NEWS_EVERY : ENTRY_NEWS_EVERY
		if (this.rounds % every === 0) this.broadcast()
		else this.sendTo(linkedMembers().map(({ id }) => id))
	}

	/** Sends the news to all linked peers, after a change. */
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
		const fresh = replica.isLeader
			? replica.holdsLease(now)
			: now - replica.leaderHeardAt < LEADER_CONTACT_TTL_MS
		const ids = members.map((member) => member.id)
		const sent = { life: this.parts.incarnation, at: now }
		const { load, isRelayed } = this.parts
		return { leader, term, members: ids, fresh, load: load(), sent, relayed: isRelayed() }
	}
}
