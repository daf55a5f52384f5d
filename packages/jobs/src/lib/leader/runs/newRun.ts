/** A run as it is before its worker has been told of it. */
import { RunProgress } from '../../placement/RunProgress'
import { reservedFor } from '../steps/reservation'
import { RunPhase, type Run } from './Run'

/** What tells one run from others. @internal */
export type RunOrigin = Pick<
	Run,
	| 'text'
	| 'name'
	| 'step'
	| 'attempt'
	| 'worker'
	| 'urgent'
	| 'yields'
	| 'account'
	| 'times'
	| 'ticket'
	| 'ticketed'
	| 'suspected'
>

/** @returns the run, as of a moment on the leader's clock. @internal */
export function newRun(origin: RunOrigin, now: number): Run {
	return {
		...origin,
		need: reservedFor(origin.step),
		restored: false,
		phase: RunPhase.Starting,
		since: now,
		unanswered: 0,
		ordered: false,
		confirmedAt: undefined,
		busy: false,
		retryAt: 0,
		checkpoint: '',
		checkpointAt: now,
		stopReason: undefined,
		percent: 0,
		ending: false,
		progress: new RunProgress(now, origin.step.expectedTime),
		measure: 0,
		pace: 100,
		absent: 0,
		clearing: false,
	}
}
