/** What other instances have told of their load. What they have stays known; how loaded they were counts only while it is fresh. */
import type { LoadReport } from '@rillrudder/protocol'

/** Milliseconds for which a load counts. Core instances tell theirs many times in that span, others when they answer a question. */
const LOAD_TTL_MS = 2000

interface ReceivedLoad {
	readonly load: LoadReport
	readonly at: number
}

/** A load that is fresh. @internal */
export interface FreshLoad extends LoadReport {
	/** Milliseconds since it was told. */
	readonly age: number
}

/**
 * The loads of peers.
 *
 * @internal
 */
export class PeerLoads {
	private readonly reports = new Map<string, ReceivedLoad>()
	/** The largest processor; undefined when it has to be found again. */
	private largest: number | undefined

	/** A peer tells its load; one of an earlier version tells none. */
	update(peer: string, load: LoadReport | undefined, now: number): void {
		if (!load) return
		if (this.reports.get(peer)?.load.processor !== load.processor) this.largest = undefined
		this.reports.set(peer, { load, at: now })
	}

	/** A link is lost; the peer may come back with another capacity. */
	onLinkLost(peer: string): void {
		this.reports.delete(peer)
		this.largest = undefined
	}

	/** @returns the thousandths of a core that a peer has; undefined where it is not known. */
	processorOf(peer: string): number | undefined {
		return this.reports.get(peer)?.load.processor || undefined
	}

	/** @returns the largest processor among the peers; 0 where none is known. */
	largestProcessor(): number {
		this.largest ??= Math.max(0, ...[...this.reports.values()].map(({ load }) => load.processor))
		return this.largest
	}

	/** @returns the load of a peer; undefined without fresh word of it. */
	loadOf(peer: string, now: number): FreshLoad | undefined {
		const received = this.reports.get(peer)
		if (!received || now - received.at > LOAD_TTL_MS) return undefined
		return { ...received.load, age: now - received.at }
	}
}
