/**
 * The loads of this core instance and its peers, from which a leader selects the instances to ask
 * for advice.
 */
import type { AdviserStatus } from '@rillrudder/jobs'
import type { LoadReport } from '@rillrudder/protocol'
import { adviserStanding } from './adviserStanding'
import type { InstanceLoad } from './InstanceLoad'
import { PeerLoads } from './PeerLoads'

/**
 * The loads of a cell's instances.
 *
 * @internal
 */
export class CellLoads {
	/** Loads of other core instances, from their news. */
	readonly core = new PeerLoads()
	/** Loads of entry instances, from their answers to questions. */
	readonly entry = new PeerLoads()

	/**
	 * @param self - id of this instance.
	 * @param own - the load of this instance.
	 */
	constructor(
		private readonly self: string,
		private readonly own: InstanceLoad
	) {}

	/** @returns the load report of this instance for its peers. */
	report(): LoadReport {
		return this.own.report()
	}

	/** Discards the load of a peer whose link is lost. */
	onLinkLost(peer: string): void {
		this.core.onLinkLost(peer)
		this.entry.onLinkLost(peer)
	}

	/** @returns how suited an instance is to ask for advice. */
	standingOf(id: string, now: number): AdviserStatus {
		const own = id === this.self ? { ...this.report(), age: 0 } : undefined
		const load = own ?? this.core.loadOf(id, now) ?? this.entry.loadOf(id, now)
		return adviserStanding(load, {
			processor: this.entry.processorOf(id),
			largest: this.entry.largestProcessor(),
		})
	}
}
