/** The current leader, as known from the news that instances of the core broadcast. */
import type { CellNews } from '@rillrudder/protocol'

/** Milliseconds between two broadcasts of who leads. */
export const NEWS_INTERVAL_MS = 150
/** Milliseconds for which instances of the core accept each other's news: three broadcast intervals. */
export const CORE_NEWS_TTL_MS = 500
/**
 * A core instance sends every n-th broadcast to entry instances too. They are many, nothing else
 * wakes them as often when idle, and changes are sent to them at once.
 */
export const ENTRY_NEWS_EVERY = 2
/**
 * The same for the leader, which has a link to every entry instance; other core instances inform
 * them too.
 */
export const LEADER_NEWS_EVERY = 3
/**
 * Milliseconds for which entry instances accept news: two broadcasts and a late one. An instance
 * that is cut off thus stops accepting clients before the platform's second readiness check, one
 * second later.
 */
export const ENTRY_NEWS_TTL_MS = 700
/** Milliseconds for which the leader's own news are accepted: two of its broadcasts and a late one. */
const LEADER_NEWS_TTL_MS = 1000

/** A leader and the peers that can forward calls to it. @internal */
export interface KnownLeader {
	readonly id: string
	readonly term: number
	/**
	 * Peers that have heard from it recently, in the order in which they are tried: the leader
	 * itself first if it is linked, or last where calls are relayed.
	 */
	readonly via: readonly string[]
}

interface ReceivedNews {
	readonly news: CellNews
	readonly at: number
}

/**
 * Derives the current leader from the news of the core's instances.
 *
 * @internal
 */
export class LeaderView {
	private readonly newsByPeer = new Map<string, ReceivedNews>()

	/**
	 * @param ttl - milliseconds for which news from peers other than the leader are accepted.
	 * @param usesRelays - whether this instance sends calls through relays where the core asks for it.
	 */
	constructor(
		private readonly ttl: number,
		private readonly usesRelays = false
	) {}

	/** Records the news of a peer. */
	update(from: string, news: CellNews, now: number): void {
		this.newsByPeer.set(from, { news, at: now })
	}

	/** Discards the news of a peer whose link is lost. */
	onLinkLost(peer: string): void {
		this.newsByPeer.delete(peer)
	}

	/** @returns the leader of the highest term that some peer has heard from recently. */
	leader(now: number): KnownLeader | undefined {
		let term = 0
		let id = ''
		let relayed = false
		for (const [peer, received] of this.newsByPeer) {
			const { news } = received
			if (news.term <= term || !this.isCurrent(peer, received, now)) continue
			term = news.term
			id = news.leader
			relayed = news.relayed
		}
		if (id === '') return undefined
		return { id, term, via: this.routesTo(id, now, relayed && this.usesRelays) }
	}

	/** @returns the peers that have heard from a leader recently, in the order to try them. */
	private routesTo(leader: string, now: number, relayed: boolean): string[] {
		const relays: string[] = []
		let direct: string[] = []
		for (const [peer, received] of this.newsByPeer) {
			if (received.news.leader !== leader || !this.isCurrent(peer, received, now)) continue
			if (peer === leader) direct = [peer]
			else relays.push(peer)
		}
		return relayed ? [...relays, ...direct] : [...direct, ...relays]
	}

	/** @returns the peers whose news are fresh. */
	freshPeers(now: number): ReadonlySet<string> {
		const fresh = [...this.newsByPeer].filter(
			([peer, received]) => now - received.at <= this.ttlOf(peer, received)
		)
		return new Set(fresh.map(([peer]) => peer))
	}

	/** @returns the members of the core according to the news of the highest term. */
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
