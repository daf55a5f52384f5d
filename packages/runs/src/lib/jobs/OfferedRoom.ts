/** What a worker of a run offers: it may shrink and grow while the worker runs. */
import { times, type Resources } from '@rillrudder/scheduler'
import type { Clock } from '@rillrudder/utils'

/** Milliseconds for which room that has shrunk still counts: what is told of it takes a while, and a heartbeat more. */
const SHRUNK_COUNTS = 4500

/** What was offered before a change. */
interface FormerRoom {
	readonly until: number
	readonly capacity: Resources
}

/**
 * The room that a worker offers.
 *
 * @internal
 */
export class OfferedRoom {
	/** What it offers now. */
	current: Resources
	private former: FormerRoom[] = []

	/** @param whole - what it offers at its start. */
	constructor(
		private readonly clock: Clock,
		readonly whole: Resources
	) {
		this.current = whole
	}

	/** The most that a start may count on. */
	get counted(): Resources {
		const now = this.clock.now()
		this.former = this.former.filter(({ until }) => until > now)
		return this.former.reduce((most, { capacity }) => larger(most, capacity), this.current)
	}

	/** It offers a share of the whole from now on. */
	resize(share: number): void {
		const until = this.clock.now() + SHRUNK_COUNTS
		this.former.push({ until, capacity: this.current })
		const { cpu, memory, accelerators } = times(this.whole, share)
		this.current = {
			cpu: Math.floor(cpu),
			memory: Math.floor(memory),
			accelerators: Math.floor(accelerators),
		}
	}

	/** The worker begins a new life. */
	restore(): void {
		this.current = this.whole
		this.former = []
	}
}

function larger(left: Resources, right: Resources): Resources {
	return {
		cpu: Math.max(left.cpu, right.cpu),
		memory: Math.max(left.memory, right.memory),
		accelerators: Math.max(left.accelerators, right.accelerators),
	}
}
