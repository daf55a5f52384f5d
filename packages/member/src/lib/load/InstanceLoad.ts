/** How loaded this instance is, as it tells others in messages that pass anyway. */
import type { LoadReport } from '@rillrudder/protocol'
import { mostCalls, type InstanceCapacity } from './InstanceCapacity'
import { LoopDelay } from './LoopDelay'

/** Parts of the calls that an instance can hold, in which its fill is told. @internal */
export const WHOLE_FILL = 100

/**
 * The load of this instance.
 *
 * @internal
 */
export class InstanceLoad {
	/** Calls under way. */
	calls = 0
	private readonly delay: LoopDelay
	private readonly most: number

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
		this.delay = new LoopDelay(period, now)
		this.most = mostCalls(capacity)
	}

	/** Milliseconds that the event loop is late. */
	get loopDelay(): number {
		return this.delay.mean
	}

	/** Share of the calls that it can hold that are under way. */
	get fill(): number {
		return this.calls / this.most
	}

	/** Reads the loop's delay off the timer that calls. */
	tick(now: number): void {
		this.delay.fired(now)
	}

	/** @returns what others are told. */
	report(): LoadReport {
		return {
			processor: Math.round(this.capacity.processor),
			loopDelay: Math.round(this.loopDelay),
			fill: Math.round(this.fill * WHOLE_FILL),
		}
	}
}
