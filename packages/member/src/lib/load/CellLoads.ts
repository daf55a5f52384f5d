/** What a core instance knows of its own load and of the others', and what follows for the questions that it gives out while it leads. */
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
	/** Of other core instances, from their news. */
	readonly core = new PeerLoads()
	/** Of entry instances, from their answers to questions. */
	readonly entry = new PeerLoads()

	/**
	 * @param self - id of this instance.
	 * @param own - its load.
	 */
	constructor(
		private readonly self: string,
		private readonly own: InstanceLoad
	) {}

	/** @returns what others are told of this instance. */
	report(): LoadReport {
		return this.own.report()
	}

	/** A link is lost. */
	lost(peer: string): void {
		this.core.lost(peer)
		this.entry.lost(peer)
	}

	/** @returns how well an instance can ask for advice. */
	standingOf(id: string, now: number): AdviserStatus {
		const here = id === this.self ? { ...this.report(), age: 0 } : undefined
		const load = here ?? this.core.loadOf(id, now) ?? this.entry.loadOf(id, now)
		return adviserStanding(load, {
			processor: this.entry.processorOf(id),
			largest: this.entry.largestProcessor(),
		})
	}
}
