/** Creates runs in their initial state, before their worker is ordered to start them. */
import { RunProgress } from '../../placement/RunProgress'
import { RunPhase, type Run } from './Run'
import { ObservedRunTime } from './ObservedRunTime'

/** The properties that are set when a run is created. @internal */
export type RunOrigin = Pick<
	Run,
	| 'taskId'
	| 'name'
	| 'step'
	| 'need'
	| 'service'
	| 'attempt'
	| 'worker'
	| 'urgent'
	| 'yields'
	| 'account'
	| 'times'
	| 'ticket'
	| 'needsTicket'
	| 'decidedAt'
	| 'isSuspected'
>

/**
 * @param now - the current time, on the leader's clock.
 * @param speed - speed of its worker, as a share of the median worker's.
 * @returns a run in its initial state.
 * @internal
 */
export function createRun(origin: RunOrigin, now: number, speed = 1): Run {
	return {
		...origin,
		isRestored: false,
		phase: RunPhase.Starting,
		phaseSince: now,
		isInDoubt: false,
		seenAtWork: false,
		isOrdered: false,
		confirmedAt: undefined,
		observedTime: new ObservedRunTime(),
		isOrderPending: false,
		retryAt: 0,
		checkpoint: '',
		checkpointAt: now,
		stopReason: undefined,
		percent: 0,
		isEnding: false,
		progress: new RunProgress(now, origin.step.expectedTime / speed),
		measure: 0,
		pace: 100,
		missedPolls: 0,
		isClearProposed: false,
	}
}
