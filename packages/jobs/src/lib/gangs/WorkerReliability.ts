/**
 * Which workers are likely to go, or to fail what they start. One member that fails or is cut off breaks its whole gang, so gangs are kept off
 * workers that were lost of late, also where they answer again, and off those that failed or dropped more runs than chance explains.
 */
import { workerNameOf } from '../records/Incarnation'

/** Milliseconds in which what was seen of a worker comes to count for half; cuts and restarts follow each other within seconds. */
const HALF_LIFE = 15_000
/** What a loss counts: one of them keeps gangs away for a half-life. */
const LOSS_WEIGHT = 2
/** What a run that failed counts: most fail by their own fault, so it takes several within a short span. */
const FAILURE_WEIGHT = 0.35
/** From what on a worker counts as unsteady. */
const UNSTEADY = 1
/** What was seen counts as forgotten below this. */
const FORGOTTEN = 0.05
/** Workers of which something is kept before what is forgotten is looked for. */
const MOST_KEPT = 256

interface ReliabilityRecord {
	readonly score: number
	/** As of when, on the leader's clock. */
	readonly at: number
}

/**
 * What was seen of workers. It is kept by a worker's name, so that one which starts again and again is known in each of its lives.
 *
 * @internal
 */
export class WorkerReliability {
	private readonly records = new Map<string, ReliabilityRecord>()

	/** A worker was found silent, or another life of it answers. */
	recordLoss(worker: string, now: number): void {
		this.add(worker, LOSS_WEIGHT, now)
	}

	/** A worker has failed a run, or let it lapse. */
	recordFailure(worker: string, now: number): void {
		this.add(worker, FAILURE_WEIGHT, now)
	}

	/** @returns whether gangs are better kept off a worker. */
	isUnreliable(worker: string, now: number): boolean {
		// Names are cut from ids only where something is known.
		return this.records.size > 0 && this.scoreOf(workerNameOf(worker), now) >= UNSTEADY
	}

	private add(worker: string, weight: number, now: number): void {
		const name = workerNameOf(worker)
		this.records.set(name, { score: this.scoreOf(name, now) + weight, at: now })
		if (this.records.size > MOST_KEPT) this.forget(now)
	}

	private scoreOf(name: string, now: number): number {
		const record = this.records.get(name)
		return record ? record.score * 0.5 ** ((now - record.at) / HALF_LIFE) : 0
	}

	private forget(now: number): void {
		for (const name of this.records.keys()) {
			if (this.scoreOf(name, now) < FORGOTTEN) this.records.delete(name)
		}
	}
}
