/**
 * The links between processes of a run: ordered and whole as TCP has it, but slow, and silent while they
 * are cut. What was on its way when a cut began may come when it ends, long after it was sent.
 */
import type { Event } from '@rillrudder/protocol'
import type { ManualClock, Random } from '@rillrudder/utils'
import type { RunProcess } from './RunProcess'

const LEAST_DELAY = 0.3
const MOST_DELAY = 4
const NOTICE = 10
const LATE_SHARE = 0.5

/** A process that takes events. @internal */
export interface Receiver {
	readonly process: RunProcess
	receive(from: string, event: Event): void
	peerChanged(peer: string, connected: boolean): void
}

/**
 * The links of a run.
 *
 * @internal
 */
export class RunNetwork {
	private readonly receivers = new Map<string, Receiver>()
	/** Moment at which the newest event of each direction arrives, so that the order is kept. */
	private readonly newest = new Map<string, number>()
	private readonly cuts = new Map<string, number>()

	constructor(
		private readonly clock: ManualClock,
		private readonly random: Random,
		/** Whether two processes hold a link. */
		private readonly linked: (left: string, right: string) => boolean
	) {}

	/** A process has started: it and its peers learn of each other. */
	join(receiver: Receiver): void {
		const { id, life } = receiver.process
		this.receivers.set(id, receiver)
		for (const other of this.receivers.values()) {
			if (!this.linked(id, other.process.id) || !other.process.alive) continue
			const otherLife = other.process.life
			this.clock.after(NOTICE, () => {
				receiver.process.act(life, () => receiver.peerChanged(other.process.id, true))
				other.process.act(otherLife, () => other.peerChanged(id, true))
			})
		}
	}

	/** A process has died: its peers see their links end. */
	leave(id: string): void {
		for (const other of this.receivers.values()) {
			if (!this.linked(id, other.process.id)) continue
			const { life } = other.process
			this.clock.after(NOTICE, () => {
				if (this.receivers.get(id)?.process.alive) return
				other.process.act(life, () => other.peerChanged(id, false))
			})
		}
	}

	/** Cuts one direction for a while. */
	cut(from: string, to: string, span: number): void {
		const name = `${from}>${to}`
		this.cuts.set(name, Math.max(this.cuts.get(name) ?? 0, this.clock.now() + span))
	}

	/** Ends all cuts. */
	heal(): void {
		this.cuts.clear()
	}

	/** Whether one direction is cut now. */
	isCut(from: string, to: string): boolean {
		return (this.cuts.get(`${from}>${to}`) ?? 0) > this.clock.now()
	}

	/** @returns a delay for a message that is not one of the links', such as a worker's answer. */
	delay(): number {
		return LEAST_DELAY + this.random.fraction() * (MOST_DELAY - LEAST_DELAY)
	}

	/** Sends an event. @returns false when there is no link. */
	send(from: RunProcess, to: string, event: Event): boolean {
		const receiver = this.receivers.get(to)
		if (!receiver?.process.alive || !this.linked(from.id, to)) return false
		const name = `${from.id}>${to}`
		const now = this.clock.now()
		const cutUntil = this.cuts.get(name) ?? 0
		if (cutUntil > now && !this.random.chance(LATE_SHARE)) return true
		const arrives = Math.max(now, cutUntil) + this.delay()
		const at = Math.max(arrives, this.newest.get(name) ?? 0)
		this.newest.set(name, at)
		const { life } = receiver.process
		this.clock.after(at - now, () => {
			receiver.process.act(life, () => receiver.receive(from.id, event))
		})
		return true
	}
}
