/**
 * What workers that fall silent tell: of their data centre, which may be out of reach as a whole, and of the tasks that ran there, which may have
 * crashed them.
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
 * The losses of workers.
 *
 * @internal
 */
export class WorkerLosses {
	private readonly outages = new OutageDetector()
	private readonly correlated = new CorrelatedLosses()
	readonly reliability = new WorkerReliability()

	/**
	 * @param context - what the parts of the leader share.
	 * @param views - all workers.
	 */
	constructor(
		private readonly context: LeaderContext,
		private readonly views: ReadonlyMap<string, WorkerView>
	) {}

	/** A worker was found silent, or another life of it answers. */
	lost(view: WorkerView): void {
		view.lostAt = this.context.clock.now()
		this.correlated.record(view)
		this.reliability.lost(view.id, view.lostAt)
	}

	/** A call to a worker did not come back; its data centre may be out of reach. */
	missed({ id, worker: { dataCentre } }: WorkerView): void {
		let workers = 0
		for (const { worker } of this.views.values()) if (worker.dataCentre === dataCentre) workers += 1
		this.outages.onMissedCall(dataCentre, id, workers, this.context.clock.now())
	}

	/** A worker has answered. */
	answered({ id, worker }: WorkerView): void {
		this.outages.onAnswered(worker.dataCentre, id)
	}

	/** @returns whether a worker's data centre seems out of reach and it has not answered since. */
	isSuspect({ worker, answeredAt }: WorkerView, now: number): boolean {
		const since = this.outages.suspectSince(worker.dataCentre, now)
		return since !== undefined && answeredAt < since
	}

	/** @returns what the end of a worker without a word says of what ran there. */
	findingsOf(view: WorkerView): CrashFindings {
		const findings: { [task: string]: CrashEvidence } = {}
		const evidenceOf = this.evidenceOn(view)
		for (const run of view.runs.values()) {
			const evidence = evidenceOf(run)
			if (evidence) findings[run.text] = evidence
		}
		return findings
	}

	/** @returns what the loss of a worker says of the task of each run there; whether others were lost with it is looked up once. */
	evidenceOn(view: WorkerView): (run: Run) => CrashEvidence | undefined {
		const isCorrelated = this.correlated.isCorrelated(view, this.views.size)
		return (run) => crashEvidenceOf(run, view, isCorrelated)
	}
}
