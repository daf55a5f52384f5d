/** Which customers' homes this data centre has given up, and which it has taken over. */

/** A customer whose home moved. @public */
export interface Move {
	readonly customer: string
	readonly other: string
	/** The configuration revision that moved it; a lower one changes nothing any more. */
	readonly revision: number
}

/**
 * Moves of homes, out of this data centre and into it.
 *
 * @public
 */
export class HomeBook {
	private closed = new Map<string, Move>()
	private opened = new Map<string, Move>()

	/** @returns where a customer's home went, if it was here and is closed. */
	closedTo(customer: string): Move | undefined {
		return this.closed.get(customer)
	}

	/** @returns where a customer's home came from, if it has been taken over. */
	openedFrom(customer: string): Move | undefined {
		return this.opened.get(customer)
	}

	/** @returns whether the move counts. */
	close(move: Move): boolean {
		const known = this.newest(move.customer)
		if (known >= move.revision) return false
		this.closed.set(move.customer, move)
		return true
	}

	/** @returns whether the move counts. */
	open(move: Move): boolean {
		const known = this.newest(move.customer)
		if (known >= move.revision) return false
		this.closed.delete(move.customer)
		this.opened.set(move.customer, move)
		return true
	}

	/** @returns the book for a snapshot. */
	save(): unknown {
		return { closed: [...this.closed.values()], opened: [...this.opened.values()] }
	}

	/** @param saved - what `save` returned. */
	load(saved: unknown): void {
		const book = saved as { closed: Move[]; opened: Move[] }
		this.closed = new Map(book.closed.map((move) => [move.customer, move]))
		this.opened = new Map(book.opened.map((move) => [move.customer, move]))
	}

	private newest(customer: string): number {
		return Math.max(
			this.closed.get(customer)?.revision ?? 0,
			this.opened.get(customer)?.revision ?? 0
		)
	}
}
