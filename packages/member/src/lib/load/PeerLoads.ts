/**
 * The load reports of other instances. Their capacity stays known; their load counts only while it
 * is fresh.
 */
import type { LoadReport } from '@rillrudder/protocol'

/**
 * Milliseconds for which a load is fresh. Core instances report it many times in that span, others
 * when they answer a question.
 */
const LOAD_TTL_MS = 2000

interface ReceivedLoad {
	readonly load: LoadReport
	readonly at: number
}

/** A fresh load. @internal */
export interface FreshLoad extends LoadReport {
	/** Milliseconds since it was reported. */
	readonly age: number
}

/**
 * Stores the load reports of peers.
 *
 * @internal
 */
export class PeerLoads {
	private readonly reports = new Map<string, ReceivedLoad>()
	/** The largest processor; undefined if it has to be computed again. */
	private largest: number | undefined

	/** Records the load of a peer; a peer of an earlier version reports none. */
	update(peer: string, load: LoadReport | undefined, now: number): void {
		if (!load) return
		if (this.reports.get(peer)?.load.processor !== load.processor) this.largest = undefined
		this.reports.set(peer, { load, at: now })
	}

	/** Discards the load of a peer whose link is lost; it may return with another capacity. */
	onLinkLost(peer: string): void {
		this.reports.delete(peer)
		this.largest = undefined
	}

	/** @returns the processor of a peer in thousandths of a core; undefined if unknown. */
	processorOf(peer: string): number | undefined {
		return this.reports.get(peer)?.load.processor || undefined
	}

	/** @returns the largest processor among the peers; 0 if none is known. */
	largestProcessor(): number {
		this.largest ??= Math.max(0, ...[...this.reports.values()].map(({ load }) => load.processor))
		return this.largest
	}

	/** @returns the load of a peer; undefined without a fresh report. */
	loadOf(peer: string, now: number): FreshLoad | undefined {
		const received = this.reports.get(peer)
		if (!received || now - received.at > LOAD_TTL_MS) return undefined
		return { ...received.load, age: now - received.at }
	}
}
