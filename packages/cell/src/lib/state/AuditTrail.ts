/** Who did what when, kept by the log's own application so that it can't disagree with it. */

/** One line of the trail. @public */
export interface AuditRecord {
	/** Index in the log. */
	readonly index: number
	/** Milliseconds since the epoch, as the leader read it. */
	readonly at: number
	/** The operator, or `system`. */
	readonly who: string
	/** What was done, such as `confirm`. */
	readonly what: string
	/** What it was done to. */
	readonly subject: string
	readonly outcome: string
}

/** Which lines are wanted. @public */
export interface AuditFilter {
	readonly who?: string
	readonly what?: string
	readonly from?: number
	readonly to?: number
}

const MAX_RECORDS = 50_000

/**
 * The trail of one log.
 *
 * @public
 */
export class AuditTrail {
	private records: AuditRecord[] = []

	/** @param record - a line that follows all others. */
	add(record: AuditRecord): void {
		this.records.push(record)
		if (this.records.length > MAX_RECORDS + MAX_RECORDS / 10) {
			this.records = this.records.slice(-MAX_RECORDS)
		}
	}

	/** @returns the lines that match, oldest first. */
	select(filter: AuditFilter): AuditRecord[] {
		return this.records.filter(
			(record) =>
				(filter.who === undefined || record.who === filter.who) &&
				(filter.what === undefined || record.what === filter.what) &&
				(filter.from === undefined || record.at >= filter.from) &&
				(filter.to === undefined || record.at <= filter.to)
		)
	}

	/** @returns the trail for a snapshot. */
	save(): AuditRecord[] {
		return this.records
	}

	/** @param saved - what `save` returned. */
	load(saved: AuditRecord[]): void {
		this.records = saved
	}
}
