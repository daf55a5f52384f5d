/** Who leads, as far as an instance has been told. */
import type { CellNews } from '@rillrudder/protocol'

/** Milliseconds between two tellings of who leads. */
export const NEWS_PERIOD = 150
/** Milliseconds for which instances of the core count each other's news: three periods. */
export const CORE_NEWS_KEPT = 500
/**
 * Of so many tellings an instance of the core sends one to entry instances. They are many, at rest nothing else wakes them as often, and what
 * changes is told them at once.
 */
export const ENTRY_TOLD_EVERY = 2
/** The same for the leader: it has a link to each of them, and others of the core tell them too. */
export const LEADER_TELLS_EVERY = 3
/**
 * Milliseconds for which entry instances count news: two tellings and a late one, so that an instance that is cut off stops taking clients before
 * the platform's second question, a second later.
 */
export const ENTRY_NEWS_KEPT = 700
/** Milliseconds for which the leader's own news count: two of its tellings and a late one. */
const LEADERS_NEWS_KEPT = 1000

/** A leader and the peers that can pass calls on to it. @internal */
export interface KnownLeader {
	readonly id: string
	readonly term: number
	/** Peers that have heard from it lately, the leader itself first if it is linked. */
	readonly via: readonly string[]
}

interface Told {
	readonly news: CellNews
	readonly at: number
}

/**
 * Who leads, from the news of the core's instances.
 *
 * @internal
 */
export class LeaderView {
	private readonly told = new Map<string, Told>()

	/** @param kept - milliseconds for which news of others than the leader count. */
	constructor(private readonly kept: number) {}

	/** Takes news from a peer. */
	take(from: string, news: CellNews, now: number): void {
		this.told.set(from, { news, at: now })
	}

	/** A link is lost: what the peer told counts no longer. */
	lost(peer: string): void {
		this.told.delete(peer)
	}

	/** @returns the leader of the highest term that somebody has heard from lately. */
	leader(now: number): KnownLeader | undefined {
		let term = 0
		let id = ''
		for (const [peer, told] of this.told) {
			const { news } = told
			if (news.term <= term || !this.counts(peer, told, now)) continue
			term = news.term
			id = news.leader
		}
		if (id === '') return undefined
		const via: string[] = []
		for (const [peer, told] of this.told) {
			if (told.news.leader !== id || !this.counts(peer, told, now)) continue
			if (peer === id) via.unshift(peer)
			else via.push(peer)
		}
		return { id, term, via }
	}

	/** @returns the peers whose news are fresh. */
	heard(now: number): ReadonlySet<string> {
		const fresh = [...this.told].filter(([peer, told]) => now - told.at <= this.keptOf(peer, told))
		return new Set(fresh.map(([peer]) => peer))
	}

	/** @returns the members of the core that the newest news name. */
	members(): readonly string[] {
		let newest: Told | undefined
		for (const told of this.told.values()) {
			const newer = !newest || told.news.term > newest.news.term
			if (newer && told.news.members.length > 0) newest = told
		}
		return newest?.news.members ?? []
	}

	private counts(peer: string, told: Told, now: number): boolean {
		const { news, at } = told
		return news.fresh && news.leader !== '' && now - at <= this.keptOf(peer, told)
	}

	private keptOf(peer: string, { news }: Told): number {
		return peer === news.leader ? LEADERS_NEWS_KEPT : this.kept
	}
}
