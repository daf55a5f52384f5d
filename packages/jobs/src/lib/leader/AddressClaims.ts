/**
 * Settles which of two incarnations is at an address. A worker that reports from where another one is known has usually
 * taken its place; but a heartbeat that a cut held back may come after its sender has ended and another incarnation
 * has reported from there. No heartbeat tells which came later, so the one that is known is asked.
 */
import type { Worker } from '../records/Cell'
import type { LeaderContext } from './LeaderContext'
import type { WorkerView } from './WorkerView'

/** Who is at an address. @internal */
export const Occupant = {
	/** The worker that was known there. */
	Known: 'known',
	/** Another incarnation. */
	Other: 'other',
	/** Nobody answered. */
	Unclear: 'unclear',
} as const
/** One of the answers. @internal */
export type Occupant = (typeof Occupant)[keyof typeof Occupant]

/**
 * Asks who is at an address.
 *
 * @internal
 */
export class AddressClaims {
	/** Addresses that are being asked. */
	private readonly asking = new Set<string>()

	constructor(private readonly context: LeaderContext) {}

	/**
	 * @param known - the worker that is known at the address.
	 * @param claimant - another one, which says that it is there.
	 * @param done - told who is there; at once `unclear` while that is being asked already.
	 */
	settle(known: WorkerView, claimant: Worker, done: (occupant: Occupant) => void): void {
		const { address } = claimant
		if (this.asking.has(address)) {
			done(Occupant.Unclear)
			return
		}
		this.asking.add(address)
		const { orders, term } = this.context
		const order = { fence: term, endsSeen: known.endsCommitted, wait: 0 }
		orders.poll(known.worker, order, ({ kind }) => {
			this.asking.delete(address)
			if (kind === 'other-incarnation') done(Occupant.Other)
			else if (kind === 'done' || kind === 'refused') done(Occupant.Known)
			else done(Occupant.Unclear)
		})
	}
}
