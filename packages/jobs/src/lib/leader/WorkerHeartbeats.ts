/** What workers say of themselves: that they are there, where, with what, and that they are leaving. */
import type { Heartbeat } from '../records/Cell'
import { AddressClaims, Occupant } from './AddressClaims'
import type { HeardWorker } from './calls'
import type { LeaderContext } from './LeaderContext'
import { LeaderEvent } from './LeaderEvent'
import { sameWorker } from './sameWorker'
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
	private readonly claims: AddressClaims

	constructor(
		private readonly context: LeaderContext,
		private readonly host: HeartbeatHost
	) {
		this.claims = new AddressClaims(context)
	}

	/**
	 * Takes a heartbeat.
	 *
	 * @param heartbeat - the heartbeat.
	 * @param done - called once what it says is lasting, or with false when that can't be said.
	 */
	take(heartbeat: Heartbeat, done: (noted: boolean) => void): void {
		const { worker } = heartbeat
		const { workers } = this.context.state
		if (workers.isGone(worker.id)) {
			done(true)
			return
		}
		const known = this.host.find(workers.at(worker.address)?.worker.id ?? '')
		if (known && known.id !== worker.id) this.claimed(known, heartbeat, done)
		else this.accept(heartbeat, done)
	}

	/** Another instance has heard a worker. */
	heard({ worker, sequence, clock, age }: HeardWorker): void {
		const view = this.host.find(worker)
		if (view) this.note(view, { sequence, clock }, age)
	}

	/** A worker reports from where another one is known. */
	private claimed(known: WorkerView, heartbeat: Heartbeat, done: (noted: boolean) => void): void {
		const { worker } = heartbeat
		this.claims.settle(known, worker, (occupant) => {
			switch (occupant) {
				case Occupant.Other:
					this.host.over(known.id, WorkerEnd.Replaced)
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
		if (!view || !sameWorker(view.worker, heartbeat.worker)) {
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
		this.context.proposals.propose({ kind: 'worker', worker, sequence }, () => {
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
