/** The network of a group's run: it loses, delays, repeats and reorders, and links can be cut. */
import type { GroupMessage } from '@rillrudder/protocol'
import type { ManualClock, Random } from '@rillrudder/utils'

/** Milliseconds that a message takes at most. */
const DELAY_MOST = 40
/** Shares of messages that are lost, and that come twice. */
const LOSS = 0.02
const REPEAT = 0.02

/** A message on its way. @internal */
export interface Flight {
	readonly to: string
	readonly message: GroupMessage
}

/** What the network needs of its run. @internal */
export interface GroupNetworkParts {
	readonly clock: ManualClock
	readonly random: Random
	/** Ids of the instances there are. */
	readonly ids: () => Iterable<string>
	readonly deliver: (flight: Flight) => void
}

/**
 * The network of a group's run.
 *
 * @internal
 */
export class GroupNetwork {
	private readonly blocked = new Set<string>()
	private blockedUntil = 0
	private faulty = true

	constructor(private readonly parts: GroupNetworkParts) {}

	/** Heals every link; from now on nothing is lost or comes twice. */
	heal(): void {
		this.faulty = false
		this.blocked.clear()
	}

	/** Ends cuts whose time is over. */
	tick(): void {
		if (this.parts.clock.now() >= this.blockedUntil) this.blocked.clear()
	}

	/** Sends a message: it may be lost, late, or come twice. */
	send(from: string, flight: Flight): void {
		if (this.blocked.has(`${from}>${flight.to}`)) return
		if (this.faulty && this.parts.random.chance(LOSS)) return
		const copies = this.faulty && this.parts.random.chance(REPEAT) ? 2 : 1
		for (let copy = 0; copy < copies; copy++) {
			this.parts.clock.after(this.parts.random.integer(0, DELAY_MOST), () =>
				this.parts.deliver(flight)
			)
		}
	}

	/** Cuts links, by sender and receiver, for a while. */
	block(span: number, between: (from: string, to: string) => boolean): void {
		for (const from of this.parts.ids()) {
			for (const to of this.parts.ids()) {
				if (from !== to && between(from, to)) this.blocked.add(`${from}>${to}`)
			}
		}
		this.blockedUntil = this.parts.clock.now() + span
	}
}
