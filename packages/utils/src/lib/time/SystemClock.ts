/** The system clock. This is the only module that reads it. */
import { Clock, Timer } from './Clock'

/** A timer of the Node event loop. @internal */
class NodeTimer extends Timer {
	constructor(private readonly handle: NodeJS.Timeout) {
		super()
	}

	override cancel(): void {
		clearTimeout(this.handle)
	}
}

/**
 * The system clock, with timers of the Node event loop.
 *
 * @public
 */
export class SystemClock extends Clock {
	override now(): number {
		return performance.now()
	}

	override date(): Date {
		return new Date()
	}

	override ahead(): number {
		return Date.now() - performance.now()
	}

	override after(delay: number, call: () => void): Timer {
		return new NodeTimer(setTimeout(call, delay))
	}
}
