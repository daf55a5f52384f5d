/** What other instances have told of their load. What they have stays known; how loaded they were counts only while it is fresh. */
import type { LoadReport } from '@rillrudder/protocol'

/** Milliseconds for which a load counts. Core instances tell theirs many times in that span, others when they answer a question. */
const KEPT = 2000

interface Told {
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
	private readonly told = new Map<string, Told>()
	/** The largest processor; undefined when it has to be found again. */
	private largest: number | undefined

	/** A peer tells its load; one of an earlier version tells none. */
	take(peer: string, load: LoadReport | undefined, now: number): void {
		if (!load) return
		if (this.told.get(peer)?.load.processor !== load.processor) this.largest = undefined
		this.told.set(peer, { load, at: now })
	}

	/** A link is lost; the peer may come back with another capacity. */
	lost(peer: string): void {
		this.told.delete(peer)
		this.largest = undefined
	}

	/** @returns the thousandths of a core that a peer has; undefined where it is not known. */
	processorOf(peer: string): number | undefined {
		return this.told.get(peer)?.load.processor || undefined
	}

	/** @returns the largest processor among the peers; 0 where none is known. */
	largestProcessor(): number {
		this.largest ??= Math.max(0, ...[...this.told.values()].map(({ load }) => load.processor))
		return this.largest
	}

	/** @returns the load of a peer; undefined without fresh word of it. */
	loadOf(peer: string, now: number): FreshLoad | undefined {
		const told = this.told.get(peer)
		if (!told || now - told.at > KEPT) return undefined
		return { ...told.load, age: now - told.at }
	}
}
