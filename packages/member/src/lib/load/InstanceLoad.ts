/** How loaded this instance is, as it tells others in messages that pass anyway. */
import type { LoadReport } from '@rillrudder/protocol'
import { maxCalls, type InstanceCapacity } from './InstanceCapacity'
import { LoopDelay } from './LoopDelay'

/** Parts of the calls that an instance can hold, in which its fill is told. @internal */
export const FILL_SCALE = 100

/**
 * The load of this instance.
 *
 * @internal
 */
export class InstanceLoad {
	/** Calls under way. */
	calls = 0
	private readonly loop: LoopDelay
	private readonly maxCalls: number

	/**
	 * @param capacity - what it has.
	 * @param period - milliseconds between two calls of `tick`.
	 * @param now - when the first period begins.
	 */
	constructor(
		private readonly capacity: InstanceCapacity,
		period: number,
		now: number
	) {
		this.loop = new LoopDelay(period, now)
		this.maxCalls = maxCalls(capacity)
	}

	/** Milliseconds that the event loop is late. */
	get loopDelay(): number {
		return this.loop.mean
	}

	/** Share of the calls that it can hold that are under way. */
	get fill(): number {
		return this.calls / this.maxCalls
	}

	/** Reads the loop's delay off the timer that calls. */
	tick(now: number): void {
		this.loop.onTimer(now)
	}

	/** @returns what others are told. */
	report(): LoadReport {
		return {
			processor: Math.round(this.capacity.processor),
			loopDelay: Math.round(this.loopDelay),
			fill: Math.round(this.fill * FILL_SCALE),
		}
	}
}
