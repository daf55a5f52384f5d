/**
 * Heartbeats of workers: that they are alive, their address and capacity, and whether they are
 * draining.
 */
import type { Heartbeat, Worker } from '../../records/Cell'
import { workerNameOf } from '../../records/Incarnation'
import type { RelayedHeartbeat } from '../callers/calls'
import { epochTimeOf, type LeaderContext } from '../LeaderContext'
import { LeaderEvent } from '../LeaderEvent'
import { Occupant, type IncarnationChanges } from './IncarnationChanges'
import { isSamePlace, isSameWorker } from './isSameWorker'
import { WorkerEnd } from './WorkerEnd'
import type { WorkerView } from './WorkerView'

/** The fields of a heartbeat that change from one to the next. */
type HeartbeatReading = Pick<Heartbeat, 'sequence' | 'clock' | 'remaining'>

/** What `WorkerHeartbeats` needs of the worker registry. @internal */
export interface HeartbeatDelegate {
	/** @returns a worker by its id. */
	find(id: string): WorkerView | undefined
	/** An incarnation of a worker has ended; `done` is called once that is committed. */
	onIncarnationEnded(id: string, reason: WorkerEnd, done?: () => void): void
}

/**
 * Handles the heartbeats of workers.
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
	 * Handles a heartbeat.
	 *
	 * @param done - called with true once what the heartbeat reports is committed or known already;
	 * with false when it is ignored, or when it is unclear which incarnation is current.
	 */
	handle(heartbeat: Heartbeat, done: (isRecorded: boolean) => void): void {
		const { workers } = this.context.state
		const named = workers.findByName(workerNameOf(heartbeat.worker.id))?.worker
		const worker = withKnownId(heartbeat.worker, named)
		if (workers.isGone(worker.id)) return done(true)
		// It does not name its incarnation, so it says nothing about the known one.
		if (worker.born === undefined && named?.born !== undefined) return this.ignore(worker, done)
		// An incarnation keeps its service and its place; another writer's entry under its name must
		// not change them.
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

	/** Another instance has received a heartbeat of a worker. */
	onRelayed({ worker, sequence, clock, age }: RelayedHeartbeat): void {
		const view = this.delegate.find(worker)
		if (view) this.update(view, { sequence, clock }, age)
	}

	/** Resolves a worker's report from the address or under the name of another incarnation. */
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
		const recorded = (): void => done(true)
		const view = this.delegate.find(heartbeat.worker.id)
		// It was delayed in transit: the capacity that it reports may be outdated.
		if (view && heartbeat.sequence <= view.sequence) {
			const { sequence: number } = heartbeat
			const { id: worker, sequence: taken } = view
			this.context.log.debug(LeaderEvent.HeartbeatPassedOver, { worker, number, taken })
			return recorded()
		}
		if (!view || !isSameWorker(view.worker, heartbeat.worker)) {
			this.proposeWorker(heartbeat, recorded)
			return
		}
		this.update(view, heartbeat)
		if (heartbeat.draining && !view.isDraining) this.proposeDrain(view, heartbeat, recorded)
		else recorded()
	}

	/** @param age - milliseconds since the heartbeat reached an instance. */
	private update(view: WorkerView, beat: HeartbeatReading, age = 0): void {
		if (beat.sequence <= view.sequence) return
		const now = this.context.clock.now()
		view.sequence = beat.sequence
		view.hasHeartbeat = true
		view.heartbeatAt = now - age
		view.heartbeatClock = beat.clock
		if (beat.clock !== undefined) view.lease.recordClock(beat.clock, now - age)
		if (beat.remaining !== undefined) view.leavesAt = now + beat.remaining
	}

	private proposeWorker(heartbeat: Heartbeat, done: () => void): void {
		const { worker, sequence } = heartbeat
		const { id, address, dataCentre } = worker
		this.context.log.info(LeaderEvent.WorkerJoined, { worker: id, address, dataCentre })
		const at = epochTimeOf(this.context)
		this.context.proposals.propose({ kind: 'worker', worker, sequence, at }, () => {
			const view = this.delegate.find(id)
			if (view) this.update(view, heartbeat)
			if (view && heartbeat.draining) this.proposeDrain(view, heartbeat, done)
			else done()
		})
	}

	private proposeDrain(view: WorkerView, heartbeat: Heartbeat, done: () => void): void {
		const { log, proposals } = this.context
		// Nothing new is placed there from now on, even if the command is not committed.
		view.isDraining = true
		log.info(LeaderEvent.WorkerDraining, { worker: view.id, remaining: heartbeat.remaining })
		proposals.propose({ kind: 'drain', worker: view.id }, done)
	}
}

/**
 * Resolves which incarnation a heartbeat is of. A stored worker without a start time, from before
 * workers reported it, is taken for the first incarnation that reports one.
 */
function withKnownId(worker: Worker, named: Worker | undefined): Worker {
	if (!named) return worker
	const known = named.born === undefined || named.born === worker.born
	return known ? { ...worker, id: named.id } : worker
}
