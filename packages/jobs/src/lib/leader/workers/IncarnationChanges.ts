/**
 * Determines which of two incarnations is at an address, and completes what must happen before the
 * earlier one counts as ended.
 *
 * A heartbeat does not show which of the two is current, since it may have been delayed in transit
 * and wall clocks can be changed; the answer to a call sent now does. A worker that restarted under
 * its name also accepts calls meant for its earlier incarnation. So it is polled once more, under a
 * fencing token above all those sent to the earlier incarnation: that answer lists everything it
 * holds, and no order meant for the earlier incarnation is carried out after it. Runs that it lists
 * were started by such orders. They are stopped and their ends committed before the earlier
 * incarnation's runs may start elsewhere; otherwise those tasks would run twice.
 */
import type { Worker } from '../../records/Cell'
import { isOtherIncarnation } from '../../records/Incarnation'
import { toCommandEnds } from '../runs/toCommandEnds'
import type { FenceTokens } from './FenceTokens'
import { epochTimeOf, type LeaderContext } from '../LeaderContext'
import type { OrderTarget, PollResult } from '../ports'
import { WorkerEnd } from './WorkerEnd'
import type { WorkerView } from './WorkerView'

/** Poll interval while the worker still has runs to stop; a stop takes 200 ms or more. */
const STOP_RETRY_MS = 100

/** Which incarnation is at an address. @internal */
export const Occupant = {
	/** The incarnation that was known there. */
	Known: 'known',
	/** Another incarnation; the known one has ended, and none of its runs is left there. */
	Other: 'other',
	/** No answer, or a poll of the address is already under way. */
	Unclear: 'unclear',
} as const
/** One of the values of `Occupant`. @internal */
export type Occupant = (typeof Occupant)[keyof typeof Occupant]

type ListedRuns = PollResult & { readonly kind: 'done' }

/** A change of incarnation under way. */
interface IncarnationChange {
	/** The worker whose incarnation is known. */
	readonly known: WorkerView
	/** Where the new incarnation is polled. */
	readonly target: OrderTarget
	/** Called once the known incarnation has ended. */
	readonly listeners: (() => void)[]
	/** When to poll again, on the leader's clock; infinite while an answer is awaited. */
	pollAt: number
}

/** What `IncarnationChanges` needs of the worker registry. @internal */
export interface IncarnationDelegate {
	/** Another incarnation has answered in a worker's place; nothing more may be ordered there. */
	onIncarnationChanged(known: WorkerView): void
	/** A call sent at `sentAt` got no answer. */
	onUnanswered(known: WorkerView, message: string, sentAt: number): void
	/** An incarnation of a worker has ended. */
	onIncarnationEnded(id: string, reason: WorkerEnd): void
}

/**
 * Tracks changes from one incarnation of a worker to another.
 *
 * @internal
 */
export class IncarnationChanges {
	/** Changes under way, by the id of the known incarnation. */
	private readonly changes = new Map<string, IncarnationChange>()
	/** Addresses that are being polled to find out which incarnation is there. */
	private readonly addressesBeingPolled = new Set<string>()

	constructor(
		private readonly context: LeaderContext,
		private readonly fences: FenceTokens,
		private readonly delegate: IncarnationDelegate
	) {}

	/**
	 * Finds out which incarnation is at an address, when a worker reports from the address or under
	 * the name of another one.
	 *
	 * @param known - the worker that is known there.
	 * @param claimant - the worker that reports.
	 * @param done - called with the result; with `Occupant.Unclear` at once while the address is
	 * being polled already.
	 */
	resolveOccupant(known: WorkerView, claimant: Worker, done: (occupant: Occupant) => void): void {
		const { address, dataCentre } = claimant
		const change = this.changes.get(known.id)
		if (change) {
			change.listeners.push(() => done(Occupant.Other))
			return
		}
		if (this.addressesBeingPolled.has(address)) return done(Occupant.Unclear)
		this.addressesBeingPolled.add(address)
		const target = { id: known.id, address, dataCentre }
		const order = { fence: known.fence, endsSeen: 0, wait: 0 }
		this.context.orders.poll(target, order, (result) => {
			this.addressesBeingPolled.delete(address)
			this.onOccupantPolled(known, target, result, done)
		})
	}

	/**
	 * Another incarnation has answered in a worker's place.
	 *
	 * @param known - the worker whose incarnation was known.
	 * @param target - where the other incarnation is.
	 * @param done - called once the known incarnation has ended and none of its runs is left there.
	 */
	onOtherIncarnation(
		known: WorkerView,
		target: OrderTarget,
		done: () => void = () => undefined
	): void {
		const change = this.changes.get(known.id)
		if (change) {
			change.listeners.push(done)
			return
		}
		const started = { known, target, listeners: [done], pollAt: 0 }
		this.changes.set(known.id, started)
		this.delegate.onIncarnationChanged(known)
		this.pollNewIncarnation(started)
	}

	/** An incarnation has ended, however that became known. */
	onWorkerGone(id: string): void {
		const change = this.changes.get(id)
		this.changes.delete(id)
		for (const done of change?.listeners ?? []) done()
	}

	/** Polls again where runs of an earlier incarnation were left or a poll got no answer. */
	tick(now: number): void {
		for (const change of this.changes.values())
			if (now >= change.pollAt) this.pollNewIncarnation(change)
	}

	private onOccupantPolled(
		known: WorkerView,
		target: OrderTarget,
		result: PollResult,
		done: (occupant: Occupant) => void
	): void {
		switch (result.kind) {
			case 'other-incarnation':
				this.delegate.onIncarnationEnded(known.id, WorkerEnd.Replaced)
				return done(Occupant.Other)
			case 'done':
				if (!isOtherIncarnation(known.worker.born, result.born)) return done(Occupant.Known)
				return this.onOtherIncarnation(known, target, () => done(Occupant.Other))
			case 'refused':
				return done(known.worker.born === undefined ? Occupant.Known : Occupant.Unclear)
			default:
				return done(Occupant.Unclear)
		}
	}

	private pollNewIncarnation(change: IncarnationChange): void {
		const { orders, clock, timing } = this.context
		const { known, target } = change
		const fence = this.fences.next()
		const sentAt = clock.now()
		change.pollAt = Number.POSITIVE_INFINITY
		orders.poll(target, { fence, endsSeen: 0, wait: 0 }, (result) => {
			if (this.changes.get(known.id) !== change) return
			if (result.kind === 'other-incarnation') return this.finish(change)
			if (result.kind === 'done') return this.onRunsListed(change, fence, result)
			change.pollAt = clock.now() + timing.retryPause
			if (result.kind === 'unknown') this.delegate.onUnanswered(known, result.message, sentAt)
		})
	}

	private onRunsListed(change: IncarnationChange, fence: number, result: ListedRuns): void {
		this.commitEnds(result)
		if (result.running.length > 0) this.stopAll(change, fence, result)
		else this.finish(change)
	}

	private finish({ known }: IncarnationChange): void {
		this.delegate.onIncarnationEnded(known.id, WorkerEnd.OtherIncarnation)
		this.onWorkerGone(known.id)
	}

	/**
	 * Proposed before the end of the incarnation, so that a run that ended there does not count as
	 * lost.
	 */
	private commitEnds({ ended }: ListedRuns): void {
		if (ended.length === 0) return
		const runs = toCommandEnds(ended)
		this.context.proposals.propose({ kind: 'end', runs, at: epochTimeOf(this.context) })
	}

	private stopAll(change: IncarnationChange, fence: number, { running }: ListedRuns): void {
		const { orders, clock } = this.context
		change.pollAt = clock.now() + STOP_RETRY_MS
		for (const { task, attempt } of running) {
			// The result is ignored: the next poll shows whether the run is still there.
			orders.stop(change.target, { task, attempt, fence }, () => undefined)
		}
	}
}
