/**
 * What the loss of workers implies: for their data centre, which may be unreachable as a whole, and
 * for the tasks that ran there, which may have crashed them.
 */
import type { CrashFindings } from '../../commands/CellCommand'
import type { CrashEvidence } from '../../state/TaskCrashes'
import { crashEvidenceOf } from './crashEvidenceOf'
import type { LeaderContext } from '../LeaderContext'
import { CorrelatedLosses } from './CorrelatedLosses'
import { OutageDetector } from './OutageDetector'
import { WorkerReliability } from '../../gangs/WorkerReliability'
import type { Run } from '../runs/Run'
import type { WorkerView } from './WorkerView'

/**
 * Records the losses of workers and evaluates them.
 *
 * @internal
 */
export class WorkerLosses {
	private readonly outages = new OutageDetector()
	private readonly correlatedLosses = new CorrelatedLosses()
	readonly reliability = new WorkerReliability()

	/**
	 * @param context - the leader's shared context.
	 * @param views - all workers.
	 */
	constructor(
		private readonly context: LeaderContext,
		private readonly views: ReadonlyMap<string, WorkerView>
	) {}

	/** A worker became unreachable, or another incarnation of it answers. */
	onLost(view: WorkerView): void {
		view.lostAt = this.context.clock.now()
		this.correlatedLosses.record(view)
		this.reliability.recordLoss(view.id, view.lostAt)
	}

	/** A call to a worker got no answer; its data centre may be unreachable. */
	onMissedCall({ id, worker: { dataCentre } }: WorkerView): void {
		let workers = 0
		for (const { worker } of this.views.values()) if (worker.dataCentre === dataCentre) workers += 1
		this.outages.onMissedCall(dataCentre, id, workers, this.context.clock.now())
	}

	/** A worker has answered. */
	onAnswered({ id, worker }: WorkerView): void {
		this.outages.onAnswered(worker.dataCentre, id)
	}

	/**
	 * @returns whether a worker's data centre is suspected to be unreachable and the worker has not
	 * answered since.
	 */
	isSuspect({ worker, answeredAt }: WorkerView, now: number): boolean {
		const since = this.outages.suspectSince(worker.dataCentre, now)
		return since !== undefined && answeredAt < since
	}

	/** @returns the evidence of a worker's unannounced end against the tasks that ran there. */
	findingsOf(view: WorkerView): CrashFindings {
		const findings: { [task: string]: CrashEvidence } = {}
		const evidenceOf = this.evidenceFrom(view)
		for (const run of view.runs.values()) {
			const evidence = evidenceOf(run)
			if (evidence) findings[run.taskId] = evidence
		}
		return findings
	}

	/**
	 * @returns a function from a run on the worker to the evidence of the loss against its task.
	 * Whether other workers were lost at the same time is looked up once.
	 */
	evidenceFrom(view: WorkerView): (run: Run) => CrashEvidence | undefined {
		const isCorrelated = this.correlatedLosses.isCorrelated(view, this.views.size)
		return (run) => crashEvidenceOf(run, view, isCorrelated)
	}
}
