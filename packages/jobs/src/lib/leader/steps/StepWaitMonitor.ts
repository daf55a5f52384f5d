/**
 * Reports how long steps wait and why: a gauge of the oldest wait by reason, and a log line for
 * each long wait.
 */
import { Measure } from '@rillrudder/telemetry'
import { epochTimeOf, type LeaderContext } from '../LeaderContext'
import { LeaderEvent } from '../LeaderEvent'
import type { PlacementPass } from './PlacementPass'
import type { StepWork } from './StepWork'
import { WaitReason, type WaitExplanation } from './waitReason'

/**
 * Most steps whose wait reasons are determined per measurement, the longest waits first: each
 * visits all workers.
 */
const MAX_MEASURED_STEPS = 20
/**
 * Most overdue steps that one pass logs: each visits all workers, and the log accepts about as many
 * lines in the time of a pass.
 */
const MAX_OVERDUE_LOGS = 10
/**
 * Milliseconds after which a step that only this controller keeps from starting waits too long; a
 * question to a policy takes up to 2 s.
 */
const LONG_WAIT_MS = 5000
/** Reasons that only workers, callers or operators can end. */
const EXTERNAL_REASONS: readonly WaitReason[] = [
	WaitReason.Worker,
	WaitReason.Barred,
	WaitReason.Quota,
	WaitReason.Capacity,
	WaitReason.Policy,
]

/**
 * Monitors the waits of steps.
 *
 * @internal
 */
export class StepWaitMonitor {
	/**
	 * @param context - state and services that the parts of the leader share.
	 * @param explainWait - explains why a step waits.
	 */
	constructor(
		private readonly context: LeaderContext,
		private readonly explainWait: (work: StepWork, pass: PlacementPass) => WaitExplanation
	) {}

	/**
	 * Updates the gauges of the oldest waits, and logs each long wait once. Only the longest waits
	 * are looked up: each visits all workers, and in overload hundreds of steps wait.
	 *
	 * @param waiting - steps that could start and have unplaced tasks.
	 * @param pass - the current workers.
	 */
	measure(waiting: readonly StepWork[], pass: PlacementPass): void {
		const now = this.context.clock.now()
		const oldest = new Map<WaitReason, number>()
		for (const work of findLongestWaiting(waiting, now)) {
			const wait = this.explainWait(work, pass)
			const waited = work.getWaitTime(now)
			oldest.set(wait.reason, Math.max(oldest.get(wait.reason) ?? 0, waited))
			if (!work.hasLoggedLongWait && waited > LONG_WAIT_MS) this.logLongWait(work, wait)
		}
		for (const reason of Object.values(WaitReason)) {
			this.context.meter.gauge(Measure.OldestWait, oldest.get(reason) ?? 0, { reason })
		}
	}

	/** Logs once each waiting step that had to start by now for its job to be in time. */
	logOverdueSteps(
		steps: readonly StepWork[],
		isWaiting: (work: StepWork) => boolean,
		pass: PlacementPass
	): void {
		const epoch = epochTimeOf(this.context)
		let logged = 0
		for (const work of steps) {
			if (work.hasLoggedOverdue || !work.isOverdue(epoch) || !isWaiting(work)) continue
			work.hasLoggedOverdue = true
			this.logWait(LeaderEvent.StepOverdue, work, this.explainWait(work, pass))
			logged += 1
			if (logged === MAX_OVERDUE_LOGS) return
		}
	}

	private logLongWait(work: StepWork, wait: WaitExplanation): void {
		if (EXTERNAL_REASONS.includes(wait.reason)) return
		work.hasLoggedLongWait = true
		this.logWait(LeaderEvent.StepWaitsLong, work, wait)
	}

	private logWait(
		event: LeaderEvent,
		work: StepWork,
		{ text: reason, until }: WaitExplanation
	): void {
		this.context.log.info(event, {
			step: work.name,
			priority: work.queue.priority,
			waiting: work.getWaitingTasks().length,
			waited: Math.round(work.getWaitTime(this.context.clock.now())),
			reason,
			until,
		})
	}
}

function findLongestWaiting(waiting: readonly StepWork[], now: number): StepWork[] {
	const sorted = [...waiting].sort((left, right) => right.getWaitTime(now) - left.getWaitTime(now))
	return sorted.slice(0, MAX_MEASURED_STEPS)
}
