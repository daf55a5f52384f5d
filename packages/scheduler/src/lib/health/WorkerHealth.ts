/**
 * Finds workers that fail what they start. A worker like that looks idle and would draw everything.
 *
 * It is judged against its peers, and only by failures of several customers, so that one customer's bad
 * requests close no worker. Only a share of a data centre is ever closed this way.
 */
const LEAST_SAMPLES = 5
const LEAST_SOURCES = 2
const FAILURE_RATE = 0.5
const AGAINST_PEERS = 3
const MOST_CLOSED_SHARE = 0.2
const FIRST_PAUSE = 5000
const LONGEST_PAUSE = 300_000
const DECAY = 0.98
const PROBES_TO_RETURN = 3

interface Health {
	successes: number
	failures: number
	/** Who saw it fail since it last did well. */
	sources: Set<string>
	closedUntil: number
	pause: number
	/** Successes that are still wanted before it counts as well again; 0 for a worker in good standing. */
	probesLeft: number
}

/**
 * The health of the workers of a data centre.
 *
 * @public
 */
export class WorkerHealth {
	private readonly records = new Map<string, Health>()
	private closedCount = 0
	private successes = 0
	private failures = 0

	/** How many workers are closed for failing. */
	get closed(): number {
		return this.closedCount
	}

	/** A worker has done what it was given. */
	onSuccess(worker: string): void {
		const record = this.of(worker)
		record.successes = record.successes * DECAY + 1
		record.failures *= DECAY
		this.successes = this.successes * DECAY + 1
		this.failures *= DECAY
		if (record.probesLeft > 0 && --record.probesLeft === 0) this.restore(record)
	}

	/**
	 * A worker has failed what it was given.
	 *
	 * @param worker - the worker.
	 * @param source - the customer or intent whose work it was.
	 * @param now - the moment, in milliseconds.
	 */
	onFailure(worker: string, source: string, now: number): void {
		const record = this.of(worker)
		record.failures = record.failures * DECAY + 1
		record.successes *= DECAY
		record.sources.add(source)
		this.failures = this.failures * DECAY + 1
		this.successes *= DECAY
		if (record.probesLeft > 0) this.close(record, now)
		else if (this.looksBroken(record)) this.close(record, now)
	}

	/**
	 * @param worker - a worker.
	 * @param now - the moment, in milliseconds.
	 * @returns whether new work may go there; after a pause it may, a little at a time.
	 */
	isOpen(worker: string, now: number): boolean {
		const record = this.records.get(worker)
		return record === undefined || record.closedUntil <= now
	}

	/** Whether a worker is being tried again after it was closed. */
	isOnProbe(worker: string): boolean {
		return (this.records.get(worker)?.probesLeft ?? 0) > 0
	}

	/** Forgets a worker that has left. */
	forget(worker: string): void {
		const record = this.records.get(worker)
		if (record && record.probesLeft > 0) this.closedCount -= 1
		this.records.delete(worker)
	}

	private looksBroken(record: Health): boolean {
		const seen = record.successes + record.failures
		if (seen < LEAST_SAMPLES || record.sources.size < LEAST_SOURCES) return false
		const rate = record.failures / seen
		const others = this.successes + this.failures - seen
		const peers = others < 1 ? 0 : Math.max(0, this.failures - record.failures) / others
		return rate >= FAILURE_RATE && rate >= peers * AGAINST_PEERS
	}

	private close(record: Health, now: number): void {
		if (record.probesLeft === 0) {
			const most = Math.max(1, Math.floor(this.records.size * MOST_CLOSED_SHARE))
			if (this.closedCount >= most) return
			this.closedCount += 1
		}
		record.probesLeft = PROBES_TO_RETURN
		record.closedUntil = now + record.pause
		record.pause = Math.min(LONGEST_PAUSE, record.pause * 2)
	}

	private restore(record: Health): void {
		this.closedCount -= 1
		record.pause = FIRST_PAUSE
		record.failures = 0
		record.sources.clear()
	}

	private of(worker: string): Health {
		let record = this.records.get(worker)
		if (!record) {
			record = {
				successes: 0,
				failures: 0,
				sources: new Set(),
				closedUntil: Number.NEGATIVE_INFINITY,
				pause: FIRST_PAUSE,
				probesLeft: 0,
			}
			this.records.set(worker, record)
		}
		return record
	}
}
