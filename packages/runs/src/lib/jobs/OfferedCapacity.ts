/** What a worker of a run offers: it may shrink and grow while the worker runs. */
import { times, type Resources } from '@rillrudder/scheduler'
import type { Clock } from '@rillrudder/utils'

/** Milliseconds for which room that has shrunk still counts: what is told of it takes a while, and a heartbeat more. */
const PREVIOUS_CAPACITY_VALID_MS = 4500

/** What was offered before a change. */
interface PreviousCapacity {
	readonly until: number
	readonly capacity: Resources
}

/**
 * The room that a worker offers.
 *
 * @internal
 */
export class OfferedCapacity {
	/** What it offers now. */
	current: Resources
	private previous: PreviousCapacity[] = []

	/** @param full - what it offers at its start. */
	constructor(
		private readonly clock: Clock,
		readonly full: Resources
	) {
		this.current = full
	}

	/** The most that a start may count on. */
	get maxRecent(): Resources {
		const now = this.clock.now()
		this.previous = this.previous.filter(({ until }) => until > now)
		return this.previous.reduce((most, { capacity }) => maxOf(most, capacity), this.current)
	}

	/** It offers a share of the whole from now on. */
	resize(share: number): void {
		const until = this.clock.now() + PREVIOUS_CAPACITY_VALID_MS
		this.previous.push({ until, capacity: this.current })
		const { cpu, memory, accelerators } = times(this.full, share)
		this.current = {
			cpu: Math.floor(cpu),
			memory: Math.floor(memory),
			accelerators: Math.floor(accelerators),
		}
	}

	/** The worker begins a new life. */
	reset(): void {
		this.current = this.full
		this.previous = []
	}
}

function maxOf(left: Resources, right: Resources): Resources {
	return {
		cpu: Math.max(left.cpu, right.cpu),
		memory: Math.max(left.memory, right.memory),
		accelerators: Math.max(left.accelerators, right.accelerators),
	}
}
