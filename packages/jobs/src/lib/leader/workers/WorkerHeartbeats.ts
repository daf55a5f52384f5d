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
type Beat = Pick<Heartbeat, 'sequence' | 'clock' | 'remaining'>

/** What heartbeats need of the registry of workers. @internal */
export interface HeartbeatHost {
	/** @returns a worker by its id. */
	find(id: string): WorkerView | undefined
	/** An incarnation of a worker has ended; `done` is called once that is lasting. */
	over(id: string, reason: WorkerEnd, done?: () => void): void
}

/**
 * The heartbeats of workers.
 *
 * @internal
 */
export class WorkerHeartbeats {
	constructor(
		private readonly context: LeaderContext,
		private readonly lives: IncarnationChanges,
		private readonly host: HeartbeatHost
	) {}

	/**
	 * Takes a heartbeat.
	 *
	 * @param heartbeat - the heartbeat.
	 * @param done - called once what it says is lasting, or with false when that can't be said.
	 */
	take(heartbeat: Heartbeat, done: (noted: boolean) => void): void {
		const { workers } = this.context.state
		const named = workers.named(workerNameOf(heartbeat.worker.id))?.worker
		const worker = identified(heartbeat.worker, named)
		if (workers.isGone(worker.id)) return done(true)
		// It does not say which life it is of, so it says nothing of the one that is known.
		if (worker.born === undefined && named?.born !== undefined) return this.passOver(worker, done)
		// A life keeps its service and its place; another writer's entry under its name must not take it from them.
		const same = this.host.find(worker.id)
		if (same && !isSamePlace(same.worker, worker)) return this.passOver(worker, done)
		const told = { ...heartbeat, worker }
		const others = [workers.at(worker.address)?.worker, named]
		const earlier = others.find((other) => other !== undefined && other.id !== worker.id)
		const known = this.host.find(earlier?.id ?? '')
		if (known) this.claimed(known, told, done)
		else this.accept(told, done)
	}

	private passOver({ id: worker, service, address }: Worker, done: (noted: boolean) => void): void {
		this.context.log.debug(LeaderEvent.EntryPassedOver, { worker, service, address })
		done(false)
	}

	/** Another instance has heard a worker. */
	heard({ worker, sequence, clock, age }: HeardWorker): void {
		const view = this.host.find(worker)
		if (view) this.note(view, { sequence, clock }, age)
	}

	/** A worker reports from where another one is known, or under the name of another life. */
	private claimed(known: WorkerView, heartbeat: Heartbeat, done: (noted: boolean) => void): void {
		const { worker } = heartbeat
		this.lives.resolveOccupant(known, worker, (occupant) => {
			switch (occupant) {
				case Occupant.Other:
					return this.accept(heartbeat, done)
				case Occupant.Known:
					return this.host.over(worker.id, WorkerEnd.Late, () => done(true))
				case Occupant.Unclear:
					return done(false)
			}
		})
	}

	private accept(heartbeat: Heartbeat, done: (noted: boolean) => void): void {
		const noted = (): void => done(true)
		const view = this.host.find(heartbeat.worker.id)
		// It was held back on its way: what it says of the worker's room may be true no more.
		if (view && heartbeat.sequence <= view.sequence) {
			const { sequence: number } = heartbeat
			const { id: worker, sequence: taken } = view
			this.context.log.debug(LeaderEvent.HeartbeatPassedOver, { worker, number, taken })
			return noted()
		}
		if (!view || !isSameWorker(view.worker, heartbeat.worker)) {
			this.proposeWorker(heartbeat, noted)
			return
		}
		this.note(view, heartbeat)
		if (heartbeat.draining && !view.draining) this.proposeDrain(view, heartbeat, noted)
		else noted()
	}

	/** @param age - milliseconds since the heartbeat came to an instance. */
	private note(view: WorkerView, beat: Beat, age = 0): void {
		if (beat.sequence <= view.sequence) return
		const now = this.context.clock.now()
		view.sequence = beat.sequence
		view.heard = true
		view.heartbeatAt = now - age
		view.heartbeatClock = beat.clock
		// A reading that came late would make its lease seem longer than it is; it is better than none.
		const counts = age === 0 || !view.lease.known
		if (beat.clock !== undefined && counts) view.lease.read(beat.clock, now)
		if (beat.remaining !== undefined) view.leavesAt = now + beat.remaining
	}

	private proposeWorker(heartbeat: Heartbeat, done: () => void): void {
		const { worker, sequence } = heartbeat
		const { id, address, dataCentre } = worker
		this.context.log.info(LeaderEvent.WorkerJoined, { worker: id, address, dataCentre })
		const at = epochOf(this.context)
		this.context.proposals.propose({ kind: 'worker', worker, sequence, at }, () => {
			const view = this.host.find(id)
			if (view) this.note(view, heartbeat)
			if (view && heartbeat.draining) this.proposeDrain(view, heartbeat, done)
			else done()
		})
	}

	private proposeDrain(view: WorkerView, heartbeat: Heartbeat, done: () => void): void {
		const { log, proposals } = this.context
		// Nothing new goes there from now on, whatever becomes of the command.
		view.draining = true
		log.info(LeaderEvent.WorkerDraining, { worker: view.id, remaining: heartbeat.remaining })
		proposals.propose({ kind: 'drain', worker: view.id }, done)
	}
}

/** Which life a heartbeat is of: a record of before workers said when they started is of the life that says so first. */
function identified(worker: Worker, named: Worker | undefined): Worker {
	if (!named) return worker
	const same = named.born === undefined || named.born === worker.born
	return same ? { ...worker, id: named.id } : worker
}
