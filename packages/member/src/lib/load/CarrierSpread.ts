/**
 * How much of its data centre's workers each carrier gets: by its processor, and less while its event loop is late. A late one gives up a
 * tenth of its workers a second, and takes them back as slowly, so that connections and orders don't move all at once.
 */
import { Measure, type Log, type Meter } from '@rillrudder/telemetry'
import type { Carrier } from '../carriers/CarrierChoice'
import { MemberEvent } from '../MemberEvent'
import { LATE_LOOP, PUNCTUAL_LOOP } from './LoopDelay'
import type { FreshLoad, PeerLoads } from './PeerLoads'
import type { Candidate } from './rendezvous'

/** Milliseconds between two steps. */
const STEP_PERIOD = 1000
/** Tenths of its workers that a carrier keeps at least: what it still carries shows whether it has recovered. */
const LEAST_TENTHS = 2
const ALL_TENTHS = 10

/** A carrier with its part of the workers. @internal */
export interface WeightedCarrier extends Carrier, Candidate {}

interface Standing {
	/** Tenths of its workers that it keeps. */
	tenths: number
	steppedAt: number
}

/**
 * The parts of all carriers.
 *
 * @internal
 */
export class CarrierSpread {
	/** Carriers that are late or have been. */
	private readonly standings = new Map<string, Standing>()

	constructor(
		private readonly loads: PeerLoads,
		private readonly log: Log,
		private readonly meter: Meter
	) {}

	/** @returns carriers with their parts as of now. */
	of(carriers: readonly Carrier[], now: number): WeightedCarrier[] {
		const known = carriers.flatMap(({ id }) => this.loads.processorOf(id) ?? [])
		const usual = known.length > 0 ? Math.max(...known) : 1
		return carriers.map(({ id, dataCentre }) => {
			const weight = this.loads.processorOf(id) ?? usual
			return { id, dataCentre, weight, kept: this.keptBy(id, now) }
		})
	}

	private keptBy(id: string, now: number): number {
		const load = this.loads.loadOf(id, now)
		const standing = this.standings.get(id) ?? { tenths: ALL_TENTHS, steppedAt: -Infinity }
		const step = stepOf(standing, load)
		if (step !== 0 && now - standing.steppedAt >= STEP_PERIOD) {
			standing.tenths += step
			standing.steppedAt = now
			this.tell(id, standing.tenths, load)
			if (standing.tenths < ALL_TENTHS) this.standings.set(id, standing)
			else this.standings.delete(id)
		}
		return standing.tenths / ALL_TENTHS
	}

	private tell(peer: string, tenths: number, load: FreshLoad | undefined): void {
		const kept = tenths / ALL_TENTHS
		const { loopDelay, age } = load ?? {}
		this.meter.gauge(Measure.CarrierKept, kept, { peer })
		this.log.info(MemberEvent.CarrierWeightChanged, { peer, kept, loopDelay, age })
	}
}

/** Without fresh word of its load a carrier counts as punctual: what is wrong with it otherwise shows in its results. */
function stepOf({ tenths }: Standing, load: FreshLoad | undefined): number {
	const { loopDelay } = load ?? { loopDelay: 0 }
	if (loopDelay >= LATE_LOOP && tenths > LEAST_TENTHS) return -1
	return loopDelay < PUNCTUAL_LOOP && tenths < ALL_TENTHS ? 1 : 0
}
