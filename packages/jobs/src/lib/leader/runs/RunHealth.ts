/** Tells the health of workers what became of the runs there. */
import type { LeaderContext } from '../LeaderContext'
import { LeaderEvent } from '../LeaderEvent'
import type { Run } from './Run'

/**
 * Milliseconds at work after which a run has shown that its worker does not fail what it starts: a
 * lasting task never ends as done, and others may take hours.
 */
const PROOF_MS = 1000

/**
 * Judges workers by their runs.
 *
 * @internal
 */
export class RunHealth {
	constructor(private readonly context: Pick<LeaderContext, 'health' | 'clock' | 'log'>) {}

	/** A run has ended as done. */
	onSuccess(run: Run): void {
		const { health, clock, log } = this.context
		const { worker } = run
		const wasOnProbe = health.isOnProbe(worker)
		health.onSuccess(worker, clock.now(), startOf(run))
		if (wasOnProbe && !health.isOnProbe(worker)) log.info(LeaderEvent.WorkerReopened, { worker })
	}

	/** A run has failed, or its worker has refused it as unhealthy. */
	onFailure(run: Run): void {
		const { health, clock, log } = this.context
		const { worker, name, taskId: task, attempt } = run
		const pause = health.onFailure(worker, name.job, clock.now(), startOf(run))
		if (pause !== undefined) log.warn(LeaderEvent.WorkerClosed, { worker, task, attempt, pause })
	}

	/**
	 * A worker lists a run. Once a probe has been at work for a while, another one may be started;
	 * only a lasting task counts as a success by then, as others may still fail at their end.
	 */
	onListed(run: Run): void {
		const { health } = this.context
		if (run.observedTime.minimum < PROOF_MS || !health.isProbe(run.worker, run.taskId)) return
		health.onProbeOver(run.worker, run.taskId)
		if (run.step.lasting) this.onSuccess(run)
	}
}

/** When a run was decided, on the leader's clock; before all others for an earlier leader's. */
function startOf({ decidedAt }: Run): number {
	return decidedAt ?? Number.NEGATIVE_INFINITY
}
