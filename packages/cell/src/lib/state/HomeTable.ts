/** Which customers' homes this data centre has opened and closed, as of which configuration revision. */

/** The newest that is known here of a customer's home. @public */
export interface HomeRecord {
	readonly customer: string
	/** The configuration revision that moved it; nothing of a lower or equal one counts any more. */
	readonly revision: number
	/** Whether this data centre keeps the customer's order. */
	readonly open: boolean
	/** The data centre that it was closed for; empty when it is open. */
	readonly to: string
}

/**
 * Homes that were opened or closed here. A data centre that has closed a home for one revision can
 * never open it for that revision or a lower one.
 *
 * @public
 */
export class HomeTable {
	private records = new Map<string, HomeRecord>()

	/** @returns the newest that is known here of a customer's home. */
	find(customer: string): HomeRecord | undefined {
		return this.records.get(customer)
	}

	/** @returns whether the home is closed here. */
	isClosed(customer: string): boolean {
		return this.records.get(customer)?.open === false
	}

	/** @returns whether the closing counts. */
	close(customer: string, to: string, revision: number): boolean {
		return this.change({ customer, revision, open: false, to })
	}

	/** @returns whether the opening counts. */
	open(customer: string, revision: number): boolean {
		return this.change({ customer, revision, open: true, to: '' })
	}

	/** @returns the table for a snapshot. */
	save(): HomeRecord[] {
		return [...this.records.values()]
	}

	/** @param saved - what `save` returned. */
	load(saved: HomeRecord[]): void {
		this.records = new Map(saved.map((record) => [record.customer, record]))
	}

	private change(record: HomeRecord): boolean {
		const known = this.records.get(record.customer)?.revision ?? 0
		if (record.revision <= known) return false
		this.records.set(record.customer, record)
		return true
	}
}
