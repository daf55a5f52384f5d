/** The audit trail of a log, written when commands are applied so that it is consistent with the log. */

/** One record of the trail. @public */
export interface AuditRecord {
	/** Log index of the command. */
	readonly index: number
	/** Wall-clock time of the leader, in milliseconds since the epoch. */
	readonly at: number
	/** The operator, or `system`. */
	readonly who: string
	/** The action, such as `confirm`. */
	readonly what: string
	/** The object of the action. */
	readonly subject: string
	readonly outcome: string
}

/** Criteria for records; all that are given must match. @public */
export interface AuditFilter {
	readonly who?: string
	readonly what?: string
	readonly from?: number
	readonly to?: number
}

const MAX_RECORDS = 50_000

/**
 * The audit trail of one log.
 *
 * @public
 */
export class AuditTrail {
	private records: AuditRecord[] = []

	/** @param record - a record that is newer than all others. */
	add(record: AuditRecord): void {
		this.records.push(record)
		if (this.records.length > MAX_RECORDS + MAX_RECORDS / 10) {
			this.records = this.records.slice(-MAX_RECORDS)
		}
	}

	/** @returns the matching records, oldest first. */
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
