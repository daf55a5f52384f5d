/** Which customers' homes this data centre has opened and closed, as of which configuration revision. */

/** The newest state of a customer's home that this data centre knows. @public */
export interface HomeRecord {
	readonly customer: string
	/** The configuration revision that moved it; changes for a lower or equal revision have no effect. */
	readonly revision: number
	/** Whether this data centre is the customer's home. */
	readonly open: boolean
	/** The data centre that it moves to; empty if it is open. */
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

	/** @returns the newest known state of a customer's home, if any. */
	find(customer: string): HomeRecord | undefined {
		return this.records.get(customer)
	}

	/** @returns whether the home is closed here. */
	isClosed(customer: string): boolean {
		return this.records.get(customer)?.open === false
	}

	/** @returns whether the closing has an effect. */
	close(customer: string, to: string, revision: number): boolean {
		return this.change({ customer, revision, open: false, to })
	}

	/** @returns whether the opening has an effect. */
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
