/** The capacity that a simulated worker offers, which may shrink and grow while the worker runs. */
import { times, type Resources } from '@rillrudder/scheduler'
import type { Clock } from '@rillrudder/utils'

/**
 * Milliseconds for which a previous capacity still counts: the change reaches the leader with a
 * heartbeat, and starts that were decided before may still arrive.
 */
const PREVIOUS_CAPACITY_VALID_MS = 4500

/** The capacity that was offered before a change. */
interface PreviousCapacity {
	readonly until: number
	readonly capacity: Resources
}

/**
 * The capacity that a worker offers.
 *
 * @internal
 */
export class OfferedCapacity {
	/** The capacity that is offered now. */
	current: Resources
	private previous: PreviousCapacity[] = []

	/** @param full - the capacity when an incarnation starts. */
	constructor(
		private readonly clock: Clock,
		readonly full: Resources
	) {
		this.current = full
	}

	/**
	 * The largest capacity, per resource, that a start may rely on: the current one or a recent
	 * previous one.
	 */
	get maxRecent(): Resources {
		const now = this.clock.now()
		this.previous = this.previous.filter(({ until }) => until > now)
		return this.previous.reduce((most, { capacity }) => maxOf(most, capacity), this.current)
	}

	/** Changes the offered capacity to a share of the full one. */
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

	/** Restores the full capacity when a new incarnation starts. */
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
