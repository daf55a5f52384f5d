/**
 * Detects workers that fail the work that they start. Such a worker looks idle and would attract
 * all new work.
 *
 * A worker is compared with its peers, and only failures of several customers count, so that one
 * customer's bad requests can't close a worker. At most a fixed share of a data centre is closed.
 *
 * A closed worker is probed: one run at a time is started there, more as probes succeed. Work that
 * no open worker can run probes it early, so that it does not wait for long once the worker is
 * sound again.
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
/**
 * Milliseconds between probes by lasting tasks that no open worker can run. They have to be at work
 * again 9 s after their last run, and a failure costs them none of their attempts.
 */
const LASTING_PROBE_INTERVAL_MS = 3000
/**
 * Most milliseconds between probes by other work that no open worker can run. It has to run within
 * 17 s, and each failure costs it one of its attempts.
 */
const MAX_PROBE_INTERVAL_MS = 10_000

interface HealthRecord {
	successes: number
	failures: number
	/** Customers and intents whose work has failed since the worker was last reopened. */
	sources: Set<string>
	closedAt: number
	closedUntil: number
	backoff: number
	/** The customer or intent whose work failed as the latest probe. */
	probeSource: string | undefined
	/**
	 * Successes that are still needed before a closed worker counts as healthy again; 0 for a healthy
	 * worker.
	 */
	probesLeft: number
	/** Runs that were started on the worker while it was on probe, and have shown nothing yet. */
	readonly probes: Set<string>
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

	/**
	 * Handles a success of a worker. Work that was started before the worker was closed does not show
	 * that it is sound again.
	 *
	 * @param worker - the worker.
	 * @param now - the moment, in milliseconds.
	 * @param startedAt - when the work was started; undefined if unknown.
	 */
	onSuccess(worker: string, now: number, startedAt?: number): void {
		const record = this.recordOf(worker)
		record.successes = record.successes * DECAY + 1
		record.failures *= DECAY
		this.successes = this.successes * DECAY + 1
		this.failures *= DECAY
		if (record.probesLeft === 0 || !wasProbe(record, now, startedAt)) return
		record.probesLeft -= 1
		if (record.probesLeft === 0) this.reopen(record)
		else record.closedUntil = Math.min(record.closedUntil, now)
	}

	/**
	 * Handles a failure of a worker. While a worker is closed, failures of work that was started before
	 * are part of the event that closed it.
	 *
	 * @param worker - the worker.
	 * @param source - the customer or intent whose work failed.
	 * @param now - the moment, in milliseconds.
	 * @param startedAt - when the work was started; undefined if unknown.
	 * @returns for how many milliseconds the worker is closed because of it; undefined if it is not.
	 */
	onFailure(worker: string, source: string, now: number, startedAt?: number): number | undefined {
		const record = this.recordOf(worker)
		record.failures = record.failures * DECAY + 1
		record.successes *= DECAY
		record.sources.add(source)
		this.failures = this.failures * DECAY + 1
		this.successes *= DECAY
		if (record.probesLeft === 0) return this.isFailing(record) ? this.close(record, now) : undefined
		if (!wasProbe(record, now, startedAt)) return undefined
		// A customer whose work fails everywhere tells nothing about the worker.
		const isSameSource = record.probeSource === source
		record.probeSource = source
		if (!isSameSource) record.backoff = Math.min(MAX_BACKOFF_MS, record.backoff * 2)
		return this.close(record, now)
	}

	/** Records that a run is started on a worker, which is a probe unless the worker is healthy. */
	onStart(worker: string, run: string): void {
		if (this.isOnProbe(worker)) this.records.get(worker)?.probes.add(run)
	}

	/** Records that a run on a worker has ended, or has shown that the worker can run it. */
	onProbeOver(worker: string, run: string): void {
		this.records.get(worker)?.probes.delete(run)
	}

	/** @returns whether a run on a worker is a probe that has shown nothing yet. */
	isProbe(worker: string, run: string): boolean {
		return this.records.get(worker)?.probes.has(run) ?? false
	}

	/**
	 * @param worker - a worker.
	 * @param now - the moment, in milliseconds.
	 * @returns whether it accepts new work. After its backoff a closed worker does, for probes.
	 */
	isOpen(worker: string, now: number): boolean {
		const record = this.records.get(worker)
		return record === undefined || (record.closedUntil <= now && hasProbeLeft(record))
	}

	/**
	 * @param worker - a worker that is closed.
	 * @param now - the moment, in milliseconds.
	 * @param lasting - whether the work is a lasting task.
	 * @returns whether it accepts work that no open worker can run.
	 */
	canProbe(worker: string, now: number, lasting: boolean): boolean {
		const record = this.records.get(worker)
		if (!record || record.probesLeft === 0 || !hasProbeLeft(record)) return false
		const backoff = record.closedUntil - record.closedAt
		const pause = lasting ? LASTING_PROBE_INTERVAL_MS : MAX_PROBE_INTERVAL_MS
		return now - record.closedAt >= Math.min(backoff, pause)
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

	/** @returns for how many milliseconds the worker is closed; undefined if too many are. */
	private close(record: HealthRecord, now: number): number | undefined {
		if (record.probesLeft === 0) {
			const maxClosed = Math.max(1, Math.floor(this.records.size * MAX_CLOSED_SHARE))
			if (this.closedCount >= maxClosed) return undefined
			this.closedCount += 1
		}
		record.probesLeft = PROBES_TO_RETURN
		record.closedAt = now
		record.closedUntil = now + record.backoff
		return record.backoff
	}

	private reopen(record: HealthRecord): void {
		this.closedCount -= 1
		record.backoff = FIRST_BACKOFF_MS
		record.failures = 0
		record.sources.clear()
		record.probeSource = undefined
		record.probes.clear()
		record.closedUntil = Number.NEGATIVE_INFINITY
	}

	private recordOf(worker: string): HealthRecord {
		let record = this.records.get(worker)
		if (!record) {
			record = {
				successes: 0,
				failures: 0,
				sources: new Set(),
				closedAt: Number.NEGATIVE_INFINITY,
				closedUntil: Number.NEGATIVE_INFINITY,
				backoff: FIRST_BACKOFF_MS,
				probeSource: undefined,
				probesLeft: 0,
				probes: new Set(),
			}
			this.records.set(worker, record)
		}
		return record
	}
}

/**
 * Whether work was started after a worker was closed. Where its start is unknown, nothing is started
 * on a worker before the backoff is over.
 */
function wasProbe(
	{ closedAt, closedUntil }: HealthRecord,
	now: number,
	startedAt: number | undefined
): boolean {
	return startedAt === undefined ? now >= closedUntil : startedAt > closedAt
}

/** Whether one more probe may be started: one at first, twice as many after each success. */
function hasProbeLeft({ probesLeft, probes }: HealthRecord): boolean {
	return probesLeft === 0 || probes.size < 2 ** (PROBES_TO_RETURN - probesLeft)
}
