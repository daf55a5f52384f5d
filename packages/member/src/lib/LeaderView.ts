/** Who leads, as far as an instance has been told. */
import type { CellNews } from '@rillrudder/protocol'

/** Milliseconds between two tellings of who leads. */
export const NEWS_INTERVAL_MS = 150
/** Milliseconds for which instances of the core count each other's news: three periods. */
export const CORE_NEWS_TTL_MS = 500
/**
 * Of so many tellings an instance of the core sends one to entry instances. They are many, at rest nothing else wakes them as often, and what
 * changes is told them at once.
 */
export const ENTRY_NEWS_EVERY = 2
/** The same for the leader: it has a link to each of them, and others of the core tell them too. */
export const LEADER_NEWS_EVERY = 3
/**
 * Milliseconds for which entry instances count news: two tellings and a late one, so that an instance that is cut off stops taking clients before
 * the platform's second question, a second later.
 */
export const ENTRY_NEWS_TTL_MS = 700
/** Milliseconds for which the leader's own news count: two of its tellings and a late one. */
const LEADER_NEWS_TTL_MS = 1000

/** A leader and the peers that can pass calls on to it. @internal */
export interface KnownLeader {
	readonly id: string
	readonly term: number
	/** Peers that have heard from it lately, the leader itself first if it is linked. */
	readonly via: readonly string[]
}

interface ReceivedNews {
	readonly news: CellNews
	readonly at: number
}

/**
 * Who leads, from the news of the core's instances.
 *
 * @internal
 */
export class LeaderView {
	private readonly newsByPeer = new Map<string, ReceivedNews>()

	/** @param ttl - milliseconds for which news of others than the leader count. */
	constructor(private readonly ttl: number) {}

	/** Takes news from a peer. */
	update(from: string, news: CellNews, now: number): void {
		this.newsByPeer.set(from, { news, at: now })
	}

	/** A link is lost: what the peer told counts no longer. */
	onLinkLost(peer: string): void {
		this.newsByPeer.delete(peer)
	}

	/** @returns the leader of the highest term that somebody has heard from lately. */
	leader(now: number): KnownLeader | undefined {
		let term = 0
		let id = ''
		for (const [peer, received] of this.newsByPeer) {
			const { news } = received
			if (news.term <= term || !this.isCurrent(peer, received, now)) continue
			term = news.term
			id = news.leader
		}
		if (id === '') return undefined
		const via: string[] = []
		for (const [peer, received] of this.newsByPeer) {
			if (received.news.leader !== id || !this.isCurrent(peer, received, now)) continue
			if (peer === id) via.unshift(peer)
			else via.push(peer)
		}
		return { id, term, via }
	}

	/** @returns the peers whose news are fresh. */
	freshPeers(now: number): ReadonlySet<string> {
		const fresh = [...this.newsByPeer].filter(
			([peer, received]) => now - received.at <= this.ttlOf(peer, received)
		)
		return new Set(fresh.map(([peer]) => peer))
	}

	/** @returns the members of the core that the newest news name. */
	members(): readonly string[] {
		let newest: ReceivedNews | undefined
		for (const received of this.newsByPeer.values()) {
			const isNewer = !newest || received.news.term > newest.news.term
			if (isNewer && received.news.members.length > 0) newest = received
		}
		return newest?.news.members ?? []
	}

	private isCurrent(peer: string, received: ReceivedNews, now: number): boolean {
		const { news, at } = received
		return news.fresh && news.leader !== '' && now - at <= this.ttlOf(peer, received)
	}

	private ttlOf(peer: string, { news }: ReceivedNews): number {
		return peer === news.leader ? LEADER_NEWS_TTL_MS : this.ttl
	}
}
