/**
 * Settles which of two incarnations is at an address, and what has to happen before the earlier one counts as over.
 *
 * A heartbeat does not tell which of the two is the present one, since it may have been held back on its way, and calendars are
 * set: the answer to a call that is sent now does. Where a worker has started again under its name, it takes calls that were
 * meant for its earlier life. So it is asked once more, under a fencing token above all that the earlier life was sent: that
 * answer is the whole of what it holds, and nothing that was meant for the earlier life is carried out after it. Runs that it
 * lists came by such orders: they are stopped, and ends of them committed, before the earlier life's runs may begin
 * elsewhere; otherwise they would run twice.
 */
import type { Worker } from '../../records/Cell'
import { isOtherLife } from '../../records/Incarnation'
import { endsOf } from '../runs/endsOf'
import type { FenceTokens } from './FenceTokens'
import { epochOf, type LeaderContext } from '../LeaderContext'
import type { OrderTarget, PollResult } from '../ports'
import { WorkerEnd } from './WorkerEnd'
import type { WorkerView } from './WorkerView'

/** Milliseconds after which a worker that still has runs of its earlier life is asked again; a stop takes 200 and more. */
const STOP_RETRY_MS = 100

/** Who is at an address. @internal */
export const Occupant = {
	/** The worker that was known there, as it was known. */
	Known: 'known',
	/** Another incarnation; the known one is over, and none of its runs is left there. */
	Other: 'other',
	/** Nobody answered, or it is being asked already. */
	Unclear: 'unclear',
} as const
/** One of the answers. @internal */
export type Occupant = (typeof Occupant)[keyof typeof Occupant]

type ListedRuns = PollResult & { readonly kind: 'done' }

/** A worker of which another life has answered. */
interface IncarnationChange {
	/** The worker as it was known. */
	readonly known: WorkerView
	/** Where its present life is asked. */
	readonly target: OrderTarget
	/** Told once it is over. */
	readonly listeners: (() => void)[]
	/** When it is asked again, on the leader's clock; infinite while an answer is awaited. */
	pollAt: number
}

/** What changes of lives need of the registry of workers. @internal */
export interface IncarnationDelegate {
	/** Another life has answered in a worker's place: nothing more is ordered there. */
	onIncarnationChanged(known: WorkerView): void
	/** A call that was sent at this moment got no answer. */
	onUnanswered(known: WorkerView, message: string, sentAt: number): void
	/** An incarnation of a worker has ended. */
	onIncarnationEnded(id: string, reason: WorkerEnd): void
}

/**
 * Changes from one life of a worker to another.
 *
 * @internal
 */
export class IncarnationChanges {
	/** Changes under way, by the id of the worker that was known. */
	private readonly changes = new Map<string, IncarnationChange>()
	/** Addresses at which it is being asked who is there. */
	private readonly addressesBeingPolled = new Set<string>()

	constructor(
		private readonly context: LeaderContext,
		private readonly fences: FenceTokens,
		private readonly delegate: IncarnationDelegate
	) {}

	/**
	 * A worker reports from where another one is known, or under the name of another life.
	 *
	 * @param known - the worker that is known.
	 * @param claimant - the one that reports.
	 * @param done - told who is there; at once `unclear` while that is being asked already.
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
	 * Another life has answered in a worker's place.
	 *
	 * @param known - the worker, as it was known.
	 * @param target - where the other life is.
	 * @param done - told once the known one is over and no run of it is left there.
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

	/** A worker is over, however that became known. */
	onWorkerGone(id: string): void {
		const change = this.changes.get(id)
		this.changes.delete(id)
		for (const done of change?.listeners ?? []) done()
	}

	/** Asks again where runs of an earlier life were left, or nobody answered. */
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
				if (!isOtherLife(known.worker.born, result.born)) return done(Occupant.Known)
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

	/** They come before whatever follows from the change in the log, so a run that has ended there is not lost. */
	private commitEnds({ ended }: ListedRuns): void {
		if (ended.length === 0) return
		const runs = endsOf(ended)
		this.context.proposals.propose({ kind: 'end', runs, at: epochOf(this.context) })
	}

	private stopAll(change: IncarnationChange, fence: number, { running }: ListedRuns): void {
		const { orders, clock } = this.context
		change.pollAt = clock.now() + STOP_RETRY_MS
		for (const { task, attempt } of running) {
			// Whatever comes of it, the next answer tells whether the run is still there.
			orders.stop(change.target, { task, attempt, fence }, () => undefined)
		}
	}
}
