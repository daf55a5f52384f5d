/**
 * Computes the share of its data centre's workers that each carrier gets: in proportion to its
 * processor, and less while its event loop is late. A late carrier loses a tenth of its workers per
 * second and regains them at the same rate, so that connections and orders don't move all at once.
 */
import { Measure, type Log, type Meter } from '@rillrudder/telemetry'
import type { Carrier } from '../carriers/CarrierSelector'
import { MemberEvent } from '../MemberEvent'
import { LATE_LOOP_MS, PUNCTUAL_LOOP_MS } from './LoopDelay'
import type { FreshLoad, PeerLoads } from './PeerLoads'
import type { Candidate } from './rendezvous'

/** Milliseconds between two changes of a carrier's share. */
const STEP_INTERVAL_MS = 1000
/**
 * Minimum tenths of its workers that a carrier keeps: the remaining load shows whether it has
 * recovered.
 */
const MIN_TENTHS = 2
const ALL_TENTHS = 10

/** A carrier with its share of the workers. @internal */
export interface WeightedCarrier extends Carrier, Candidate {}

interface ReducedShare {
	/** Tenths of its workers that the carrier keeps. */
	tenths: number
	steppedAt: number
}

/**
 * Computes the weights of all carriers.
 *
 * @internal
 */
export class CarrierWeights {
	/** The carriers that keep less than all of their workers. */
	private readonly reduced = new Map<string, ReducedShare>()

	constructor(
		private readonly loads: PeerLoads,
		private readonly log: Log,
		private readonly meter: Meter
	) {}

	/** @returns the carriers with their current weights. */
	weigh(carriers: readonly Carrier[], now: number): WeightedCarrier[] {
		const known = carriers.flatMap(({ id }) => this.loads.processorOf(id) ?? [])
		const fallback = known.length > 0 ? Math.max(...known) : 1
		return carriers.map(({ id, dataCentre }) => {
			const weight = this.loads.processorOf(id) ?? fallback
			return { id, dataCentre, weight, kept: this.updateKept(id, now) }
		})
	}

	private updateKept(id: string, now: number): number {
		const load = this.loads.loadOf(id, now)
		const share = this.reduced.get(id) ?? { tenths: ALL_TENTHS, steppedAt: -Infinity }
		const step = stepOf(share, load)
		if (step !== 0 && now - share.steppedAt >= STEP_INTERVAL_MS) {
			share.tenths += step
			share.steppedAt = now
			this.report(id, share.tenths, load)
			if (share.tenths < ALL_TENTHS) this.reduced.set(id, share)
			else this.reduced.delete(id)
		}
		return share.tenths / ALL_TENTHS
	}

	private report(peer: string, tenths: number, load: FreshLoad | undefined): void {
		const kept = tenths / ALL_TENTHS
		const { loopDelay, age } = load ?? {}
		this.meter.gauge(Measure.CarrierKept, kept, { peer })
		this.log.info(MemberEvent.CarrierWeightChanged, { peer, kept, loopDelay, age })
	}
}

/**
 * @returns the change in tenths. Without a fresh load report a carrier counts as punctual; other
 * faults show in its results.
 */
function stepOf({ tenths }: ReducedShare, load: FreshLoad | undefined): number {
	const { loopDelay } = load ?? { loopDelay: 0 }
	if (loopDelay >= LATE_LOOP_MS && tenths > MIN_TENTHS) return -1
	return loopDelay < PUNCTUAL_LOOP_MS && tenths < ALL_TENTHS ? 1 : 0
}
