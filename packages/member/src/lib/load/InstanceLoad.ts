/** The load of this instance, reported to peers in messages that are sent anyway. */
import type { LoadReport } from '@rillrudder/protocol'
import { maxCalls, type InstanceCapacity } from './InstanceCapacity'
import { LoopDelay } from './LoopDelay'

/** The reported `fill` of an instance that holds as many calls as it can. @internal */
export const FILL_SCALE = 100

/** Milliseconds over which the recent delay of the event loop is averaged. */
const RECENT_WINDOW_MS = 300

/**
 * Tracks the load of this instance.
 *
 * @internal
 */
export class InstanceLoad {
	/** Number of calls in flight. */
	calls = 0
	private readonly loop: LoopDelay
	private readonly recentLoop: LoopDelay
	private readonly maxCalls: number

	/**
	 * @param capacity - the capacity of this instance.
	 * @param period - milliseconds between two calls of `tick`.
	 * @param now - when the first period starts.
	 */
	constructor(
		private readonly capacity: InstanceCapacity,
		period: number,
		now: number
	) {
		this.loop = new LoopDelay(period, now)
		this.recentLoop = new LoopDelay(period, now, RECENT_WINDOW_MS)
		this.maxCalls = maxCalls(capacity)
	}

	/** Milliseconds that the event loop is late. */
	get loopDelay(): number {
		return this.loop.mean
	}

	/** The same over a shorter time, for decisions that have to follow it quickly. */
	get recentLoopDelay(): number {
		return this.recentLoop.mean
	}

	/** Calls in flight as a share of those that the instance can hold. */
	get fill(): number {
		return this.calls / this.maxCalls
	}

	/** Samples the event loop's delay; called by a periodic timer. */
	tick(now: number): void {
		this.loop.onTimer(now)
		this.recentLoop.onTimer(now)
	}

	/** @returns the load report for peers. */
	report(): LoadReport {
		return {
			processor: Math.round(this.capacity.processor),
			loopDelay: Math.round(this.loopDelay),
			fill: Math.round(this.fill * FILL_SCALE),
		}
	}
}
