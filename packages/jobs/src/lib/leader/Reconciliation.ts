/**
 * Compares the steps that the controller knows to wait with what is replicated, again and again, so that none waits for a change that was
 * missed. Each change makes a step be tried at once; this finds what such a wake-up should have found and did not. It looks
 * at a bounded number of jobs at a time, so a cell of many jobs costs no more per look, and is only looked through more slowly.
 */
import { Measure } from '@rillrudder/telemetry'
import type { JobRecord } from '../state/JobRecord'
import type { LeaderContext } from './LeaderContext'
import { LeaderEvent } from './LeaderEvent'

/** Milliseconds between two looks. */
const PERIOD_MS = 500
/**
 * Jobs that one look compares; 1 to 3 ms of an instance for jobs of ten tasks. With the 670,000 jobs a day of the size to design for some 9,000 are
 * kept at a time, so each is looked at every 9 s.
 */
const MAX_JOBS_PER_TICK = 500

/** The part of the controller that knows what waits. @internal */
export interface WaitingWork {
	/** @returns the steps of a job that it had missed and has taken up, by name; none as a rule. */
	reconcile(job: JobRecord): readonly string[]
}

/**
 * Looks again at jobs.
 *
 * @internal
 */
export class Reconciliation {
	private dueAt = 0
	private remaining: Iterator<JobRecord>

	constructor(
		private readonly context: LeaderContext,
		private readonly waitingWork: WaitingWork
	) {
		this.remaining = context.state.jobs.all()
	}

	/** Looks at the next jobs, where that is due. */
	tick(now: number): void {
		if (now < this.dueAt) return
		this.dueAt = now + PERIOD_MS
		for (let count = 0; count < MAX_JOBS_PER_TICK; count++) {
			const next = this.remaining.next()
			if (next.done) {
				this.remaining = this.context.state.jobs.all()
				return
			}
			this.reconcileJob(next.value)
		}
	}

	private reconcileJob(job: JobRecord): void {
		const { log, meter } = this.context
		for (const step of this.waitingWork.reconcile(job)) {
			meter.count(Measure.MissedWork)
			log.warn(LeaderEvent.WorkMissed, { step })
		}
	}
}
