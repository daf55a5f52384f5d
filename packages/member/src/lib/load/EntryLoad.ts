/** What an entry instance takes, refuses and tells of itself by its own load. */
import type { CellCall, CellReply } from '@rillrudder/jobs'
import type { LoadReport } from '@rillrudder/protocol'
import { Measure, type Log, type Meter } from '@rillrudder/telemetry'
import type { Clock } from '@rillrudder/utils'
import { MemberEvent } from '../MemberEvent'
import type { InstanceCapacity } from './InstanceCapacity'
import { InstanceLoad } from './InstanceLoad'
import { SentJobs } from './SentJobs'
import { Shedding, ShedLevel } from './Shedding'

/** Milliseconds after which a refused submission may come again; its next connection leads elsewhere. */
const RETRY_AFTER = 1000

/** What the load of an entry instance is kept with. @internal */
export interface EntryLoadParts {
	readonly capacity: InstanceCapacity
	readonly clock: Clock
	readonly log: Log
	readonly meter: Meter
	/** Milliseconds between two calls of `tick`. */
	readonly period: number
}

/**
 * The load of an entry instance.
 *
 * @internal
 */
export class EntryLoad {
	private readonly load: InstanceLoad
	private readonly shedding = new Shedding()
	private readonly sent = new SentJobs()
	/** Submissions refused since the last line about it. */
	private refused = 0

	constructor(private readonly parts: EntryLoadParts) {
		const { capacity, period, clock } = parts
		this.load = new InstanceLoad(capacity, period, clock.now())
	}

	/** Whether new connections may come here. */
	get takesConnections(): boolean {
		return this.shedding.level === ShedLevel.None
	}

	/** Reads the load and sets the gauges. */
	tick(): void {
		const { clock, meter } = this.parts
		this.load.tick(clock.now())
		this.update()
		meter.gauge(Measure.LoopDelay, this.load.loopDelay)
		meter.gauge(Measure.CallsUnderWay, this.load.calls)
	}

	/** @returns what others are told. */
	report(): LoadReport {
		return this.load.report()
	}

	/** Passes a call on, or refuses it. */
	async pass(call: CellCall, send: () => Promise<CellReply>): Promise<CellReply> {
		this.update()
		if (this.refuses(call)) {
			this.refused += 1
			return { kind: 'not-run', reason: 'this instance is overloaded', retryAfter: RETRY_AFTER }
		}
		if (call.kind === 'submit') this.sent.note(call.to, this.parts.clock.now())
		this.load.calls += 1
		try {
			return await send()
		} finally {
			this.load.calls -= 1
		}
	}

	/** States and cancels are served on, and so is a job that may have been taken before. */
	private refuses(call: CellCall): boolean {
		if (call.kind !== 'submit' || this.shedding.level !== ShedLevel.Submissions) return false
		return !this.sent.has(call.to, this.parts.clock.now())
	}

	private update(): void {
		const before = this.shedding.level
		this.shedding.update(this.load, this.parts.clock.now())
		const { level } = this.shedding
		if (level === before) return
		const { loopDelay, calls } = this.load
		const { refused } = this
		this.refused = 0
		const delay = Math.round(loopDelay)
		this.parts.log.warn(MemberEvent.SheddingChanged, { level, delay, calls, refused })
	}
}
