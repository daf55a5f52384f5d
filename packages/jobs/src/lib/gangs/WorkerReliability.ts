/**
 * Scores workers by recent losses and failures. One member that fails or is cut off breaks its
 * whole gang, so gangs avoid workers that were recently lost, even if they answer again, and
 * workers that failed or dropped more runs than chance explains.
 */
import { workerNameOf } from '../records/Incarnation'

/**
 * Milliseconds in which a score decays to one half. Network cuts and restarts follow each other
 * within seconds.
 */
const HALF_LIFE_MS = 15_000
/** Score of a loss: a single one keeps gangs away for one half-life. */
const LOSS_WEIGHT = 2
/** Score of a failed run: most fail by their own fault, so it takes several within a short time. */
const FAILURE_WEIGHT = 0.35
/** Score from which a worker counts as unreliable. */
const UNRELIABLE_SCORE = 1
/** Score below which a record is deleted. */
const FORGOTTEN_SCORE = 0.05
/** Number of records above which decayed ones are deleted. */
const MAX_RECORDS = 256

interface ReliabilityRecord {
	readonly score: number
	/** When the score was computed, on the leader's clock. */
	readonly at: number
}

/**
 * The reliability of workers. Records are kept by worker name, so that a worker which restarts
 * repeatedly is known in each incarnation.
 *
 * @internal
 */
export class WorkerReliability {
	private readonly records = new Map<string, ReliabilityRecord>()

	/** Records that a worker became unreachable, or that another incarnation of it answered. */
	recordLoss(worker: string, now: number): void {
		this.add(worker, LOSS_WEIGHT, now)
	}

	/** Records a run that failed or lapsed on a worker. */
	recordFailure(worker: string, now: number): void {
		this.add(worker, FAILURE_WEIGHT, now)
	}

	/** @returns whether gangs should avoid a worker. */
	isUnreliable(worker: string, now: number): boolean {
		// Names are only extracted from ids if there are any records.
		return this.records.size > 0 && this.scoreOf(workerNameOf(worker), now) >= UNRELIABLE_SCORE
	}

	private add(worker: string, weight: number, now: number): void {
		const name = workerNameOf(worker)
		this.records.set(name, { score: this.scoreOf(name, now) + weight, at: now })
		if (this.records.size > MAX_RECORDS) this.forget(now)
	}

	private scoreOf(name: string, now: number): number {
		const record = this.records.get(name)
		return record ? record.score * 0.5 ** ((now - record.at) / HALF_LIFE_MS) : 0
	}

	private forget(now: number): void {
		for (const name of this.records.keys()) {
			if (this.scoreOf(name, now) < FORGOTTEN_SCORE) this.records.delete(name)
		}
	}
}
