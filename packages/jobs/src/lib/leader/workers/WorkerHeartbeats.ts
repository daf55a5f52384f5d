/** What workers say of themselves: that they are there, where, with what, and that they are leaving. */
import type { Heartbeat, Worker } from '../../records/Cell'
import { workerNameOf } from '../../records/Incarnation'
import type { HeardWorker } from '../callers/calls'
import { epochOf, type LeaderContext } from '../LeaderContext'
import { LeaderEvent } from '../LeaderEvent'
import { Occupant, type IncarnationChanges } from './IncarnationChanges'
import { isSamePlace, isSameWorker } from './isSameWorker'
import { WorkerEnd } from './WorkerEnd'
import type { WorkerView } from './WorkerView'

/** What a heartbeat says of the moment. */
type HeartbeatReading = Pick<Heartbeat, 'sequence' | 'clock' | 'remaining'>

/** What heartbeats need of the registry of workers. @internal */
export interface HeartbeatDelegate {
	/** @returns a worker by its id. */
	find(id: string): WorkerView | undefined
	/** An incarnation of a worker has ended; `done` is called once that is lasting. */
	onIncarnationEnded(id: string, reason: WorkerEnd, done?: () => void): void
}

/**
 * The heartbeats of workers.
 *
 * @internal
 */
export class WorkerHeartbeats {
	constructor(
		private readonly context: LeaderContext,
		private readonly incarnations: IncarnationChanges,
		private readonly delegate: HeartbeatDelegate
	) {}

	/**
	 * Takes a heartbeat.
	 *
	 * @param heartbeat - the heartbeat.
	 * @param done - called once what it says is lasting, or with false when that can't be said.
	 */
	handle(heartbeat: Heartbeat, done: (isRecorded: boolean) => void): void {
		const { workers } = this.context.state
		const named = workers.findByName(workerNameOf(heartbeat.worker.id))?.worker
		const worker = withKnownId(heartbeat.worker, named)
		if (workers.isGone(worker.id)) return done(true)
		// It does not say which life it is of, so it says nothing of the one that is known.
		if (worker.born === undefined && named?.born !== undefined) return this.ignore(worker, done)
		// A life keeps its service and its place; another writer's entry under its name must not take it from them.
		const known = this.delegate.find(worker.id)
		if (known && !isSamePlace(known.worker, worker)) return this.ignore(worker, done)
		const identified = { ...heartbeat, worker }
		const others = [workers.findByAddress(worker.address)?.worker, named]
		const earlier = others.find((other) => other !== undefined && other.id !== worker.id)
		const occupant = this.delegate.find(earlier?.id ?? '')
		if (occupant) this.resolveClaim(occupant, identified, done)
		else this.accept(identified, done)
	}

	private ignore(
		{ id: worker, service, address }: Worker,
		done: (isRecorded: boolean) => void
	): void {
		this.context.log.debug(LeaderEvent.EntryPassedOver, { worker, service, address })
		done(false)
	}

	/** Another instance has heard a worker. */
	onRelayed({ worker, sequence, clock, age }: HeardWorker): void {
		const view = this.delegate.find(worker)
		if (view) this.update(view, { sequence, clock }, age)
	}

	/** A worker reports from where another one is known, or under the name of another life. */
	private resolveClaim(
		known: WorkerView,
		heartbeat: Heartbeat,
		done: (isRecorded: boolean) => void
	): void {
		const { worker } = heartbeat
		this.incarnations.resolveOccupant(known, worker, (occupant) => {
			switch (occupant) {
				case Occupant.Other:
					return this.accept(heartbeat, done)
				case Occupant.Known:
					return this.delegate.onIncarnationEnded(worker.id, WorkerEnd.Late, () => done(true))
				case Occupant.Unclear:
					return done(false)
			}
		})
	}

	private accept(heartbeat: Heartbeat, done: (isRecorded: boolean) => void): void {
		const onNoted = (): void => done(true)
		const view = this.delegate.find(heartbeat.worker.id)
		// It was held back on its way: what it says of the worker's room may be true no more.
		if (view && heartbeat.sequence <= view.sequence) {
			const { sequence: number } = heartbeat
			const { id: worker, sequence: taken } = view
			this.context.log.debug(LeaderEvent.HeartbeatPassedOver, { worker, number, taken })
			return onNoted()
		}
		if (!view || !isSameWorker(view.worker, heartbeat.worker)) {
			this.proposeWorker(heartbeat, onNoted)
			return
		}
		this.update(view, heartbeat)
		if (heartbeat.draining && !view.isDraining) this.proposeDrain(view, heartbeat, onNoted)
		else onNoted()
	}

	/** @param age - milliseconds since the heartbeat came to an instance. */
	private update(view: WorkerView, beat: HeartbeatReading, age = 0): void {
		if (beat.sequence <= view.sequence) return
		const now = this.context.clock.now()
		view.sequence = beat.sequence
		view.hasHeartbeat = true
		view.heartbeatAt = now - age
		view.heartbeatClock = beat.clock
		// A reading that came late would make its lease seem longer than it is; it is better than none.
		const isUsable = age === 0 || !view.lease.isClockKnown
		if (beat.clock !== undefined && isUsable) view.lease.recordClock(beat.clock, now)
		if (beat.remaining !== undefined) view.leavesAt = now + beat.remaining
	}

	private proposeWorker(heartbeat: Heartbeat, done: () => void): void {
		const { worker, sequence } = heartbeat
		const { id, address, dataCentre } = worker
		this.context.log.info(LeaderEvent.WorkerJoined, { worker: id, address, dataCentre })
		const at = epochOf(this.context)
		this.context.proposals.propose({ kind: 'worker', worker, sequence, at }, () => {
			const view = this.delegate.find(id)
			if (view) this.update(view, heartbeat)
			if (view && heartbeat.draining) this.proposeDrain(view, heartbeat, done)
			else done()
		})
	}

	private proposeDrain(view: WorkerView, heartbeat: Heartbeat, done: () => void): void {
		const { log, proposals } = this.context
		// Nothing new goes there from now on, whatever becomes of the command.
		view.isDraining = true
		log.info(LeaderEvent.WorkerDraining, { worker: view.id, remaining: heartbeat.remaining })
		proposals.propose({ kind: 'drain', worker: view.id }, done)
	}
}

/** Which life a heartbeat is of: a record of before workers said when they started is of the life that says so first. */
function withKnownId(worker: Worker, named: Worker | undefined): Worker {
	if (!named) return worker
	const known = named.born === undefined || named.born === worker.born
	return known ? { ...worker, id: named.id } : worker
}
