/**
 * Detects workers that fail the work that they start. Such a worker looks idle and would attract
 * all new work.
 *
 * A worker is compared with its peers, and only failures of several customers count, so that one
 * customer's bad requests can't close a worker. At most a fixed share of a data centre is closed.
 */
/** Minimum number of decayed results before a worker can be closed. */
const MIN_SAMPLES = 5
/** Minimum number of customers or intents whose work failed. */
const MIN_SOURCES = 2
const MIN_FAILURE_RATE = 0.5
/** Minimum ratio of a worker's failure rate to that of its peers. */
const MIN_PEER_RATIO = 3
const MAX_CLOSED_SHARE = 0.2
const FIRST_BACKOFF_MS = 5000
const MAX_BACKOFF_MS = 300_000
/** Factor by which earlier results count less with each new one. */
const DECAY = 0.98
const PROBES_TO_RETURN = 3

interface HealthRecord {
	successes: number
	failures: number
	/** Customers and intents whose work has failed since the worker was last reopened. */
	sources: Set<string>
	closedUntil: number
	backoff: number
	/**
	 * Successes that are still needed before a closed worker counts as healthy again; 0 for a healthy
	 * worker.
	 */
	probesLeft: number
}

/**
 * The health of the workers of a data centre.
 *
 * @public
 */
export class WorkerHealth {
	private readonly records = new Map<string, HealthRecord>()
	private closedCount = 0
	private successes = 0
	private failures = 0

	/** The number of workers that are closed because of failures. */
	get closed(): number {
		return this.closedCount
	}

	/** Handles a success of a worker. */
	onSuccess(worker: string): void {
		const record = this.recordOf(worker)
		record.successes = record.successes * DECAY + 1
		record.failures *= DECAY
		this.successes = this.successes * DECAY + 1
		this.failures *= DECAY
		if (record.probesLeft > 0 && --record.probesLeft === 0) this.reopen(record)
	}

	/**
	 * Handles a failure of a worker.
	 *
	 * @param worker - the worker.
	 * @param source - the customer or intent whose work failed.
	 * @param now - the moment, in milliseconds.
	 */
	onFailure(worker: string, source: string, now: number): void {
		const record = this.recordOf(worker)
		record.failures = record.failures * DECAY + 1
		record.successes *= DECAY
		record.sources.add(source)
		this.failures = this.failures * DECAY + 1
		this.successes *= DECAY
		if (record.probesLeft > 0) this.close(record, now)
		else if (this.isFailing(record)) this.close(record, now)
	}

	/**
	 * @param worker - a worker.
	 * @param now - the moment, in milliseconds.
	 * @returns whether it accepts new work. After its backoff a closed worker does, for probes.
	 */
	isOpen(worker: string, now: number): boolean {
		const record = this.records.get(worker)
		return record === undefined || record.closedUntil <= now
	}

	/** Whether a worker was closed and has not yet passed its probes. */
	isOnProbe(worker: string): boolean {
		return (this.records.get(worker)?.probesLeft ?? 0) > 0
	}

	/** Drops the record of a worker that has left. */
	forget(worker: string): void {
		const record = this.records.get(worker)
		if (record && record.probesLeft > 0) this.closedCount -= 1
		this.records.delete(worker)
	}

	private isFailing(record: HealthRecord): boolean {
		const seen = record.successes + record.failures
		if (seen < MIN_SAMPLES || record.sources.size < MIN_SOURCES) return false
		const rate = record.failures / seen
		const others = this.successes + this.failures - seen
		const peers = others < 1 ? 0 : Math.max(0, this.failures - record.failures) / others
		return rate >= MIN_FAILURE_RATE && rate >= peers * MIN_PEER_RATIO
	}

	private close(record: HealthRecord, now: number): void {
		if (record.probesLeft === 0) {
			const maxClosed = Math.max(1, Math.floor(this.records.size * MAX_CLOSED_SHARE))
			if (this.closedCount >= maxClosed) return
			this.closedCount += 1
		}
		record.probesLeft = PROBES_TO_RETURN
		record.closedUntil = now + record.backoff
		record.backoff = Math.min(MAX_BACKOFF_MS, record.backoff * 2)
	}

	private reopen(record: HealthRecord): void {
		this.closedCount -= 1
		record.backoff = FIRST_BACKOFF_MS
		record.failures = 0
		record.sources.clear()
	}

	private recordOf(worker: string): HealthRecord {
		let record = this.records.get(worker)
		if (!record) {
			record = {
				successes: 0,
				failures: 0,
				sources: new Set(),
				closedUntil: Number.NEGATIVE_INFINITY,
				backoff: FIRST_BACKOFF_MS,
				probesLeft: 0,
			}
			this.records.set(worker, record)
		}
		return record
	}
}
