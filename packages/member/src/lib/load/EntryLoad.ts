/**
 * The load of an entry instance: reports it to peers, and sheds new connections while it is too
 * high.
 */
import type { CellReply } from '@rillrudder/jobs'
import type { LoadReport } from '@rillrudder/protocol'
import { Measure, type Log, type Meter } from '@rillrudder/telemetry'
import type { Clock } from '@rillrudder/utils'
import { MemberEvent } from '../MemberEvent'
import type { InstanceCapacity } from './InstanceCapacity'
import { InstanceLoad } from './InstanceLoad'
import { LoadShedder } from './LoadShedder'

/** Dependencies of the load of an entry instance. @internal */
export interface EntryLoadParts {
	readonly capacity: InstanceCapacity
	readonly clock: Clock
	readonly log: Log
	readonly meter: Meter
	/** Milliseconds between two calls of `tick`. */
	readonly period: number
}

/**
 * Tracks the load of an entry instance.
 *
 * @internal
 */
export class EntryLoad {
	private readonly load: InstanceLoad
	private readonly shedder = new LoadShedder()

	constructor(private readonly parts: EntryLoadParts) {
		const { capacity, period, clock } = parts
		this.load = new InstanceLoad(capacity, period, clock.now())
	}

	/** Whether this instance accepts new connections. */
	get acceptsConnections(): boolean {
		return !this.shedder.isShedding
	}

	/** Samples the load and updates the gauges. */
	tick(): void {
		const { clock, meter } = this.parts
		this.load.tick(clock.now())
		this.updateShedding()
		meter.gauge(Measure.LoopDelay, this.load.loopDelay)
		meter.gauge(Measure.CallsUnderWay, this.load.calls)
	}

	/** @returns the load report for peers. */
	report(): LoadReport {
		return this.load.report()
	}

	/** Forwards a call and counts it as in flight until its reply. */
	async track(send: () => Promise<CellReply>): Promise<CellReply> {
		this.load.calls += 1
		try {
			return await send()
		} finally {
			this.load.calls -= 1
		}
	}

	private updateShedding(): void {
		const before = this.shedder.isShedding
		this.shedder.update(this.load, this.parts.clock.now())
		const { isShedding: active } = this.shedder
		if (active === before) return
		const { loopDelay, calls } = this.load
		const delay = Math.round(loopDelay)
		this.parts.log.warn(MemberEvent.SheddingChanged, { active, delay, calls })
	}
}
