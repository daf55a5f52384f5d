/**
 * What must hold between the replicas of a group, checked as it happens. A process on its own sees
 * only its own replica; randomised runs give all replicas of a group one witness.
 */
import { invariant } from '@rillrudder/utils'
import type { Entry } from '@rillrudder/protocol'

/**
 * Checks one leader a term, that a committed index never gets another entry, and one lease at a time.
 *
 * @public
 */
export class Witness {
	private readonly leaders = new Map<number, string>()
	private readonly committedTerms: number[] = []
	private readonly committedData: Uint8Array[] = []
	private leaseHolder = ''
	private leaseEnd = Number.NEGATIVE_INFINITY

	/** How many indexes have been seen committed. */
	get committedCount(): number {
		return this.committedTerms.length
	}

	/**
	 * @param term - a term.
	 * @param life - id and incarnation of the replica that leads it.
	 */
	leading(term: number, life: string): void {
		const known = this.leaders.get(term)
		invariant(known === undefined || known === life, 'one leader a term', { term, known, life })
		this.leaders.set(term, life)
	}

	/** @param entry - an entry that some replica takes as committed. */
	committed(entry: Entry): void {
		const position = entry.index - 1
		const known = this.committedTerms[position]
		if (known === undefined) {
			this.committedTerms[position] = entry.term
			this.committedData[position] = entry.data
			return
		}
		const same =
			known === entry.term && Buffer.compare(this.committedData[position], entry.data) === 0
		invariant(same, 'a committed entry never changes', {
			index: entry.index,
			known,
			term: entry.term,
		})
	}

	/**
	 * @param life - the replica that acts under a lease.
	 * @param trueNow - time on a clock that no replica sees.
	 * @param trueEnd - when its lease ends on that clock.
	 */
	lease(life: string, trueNow: number, trueEnd: number): void {
		const free = this.leaseHolder === life || this.leaseEnd <= trueNow
		invariant(free, 'one lease at a time', { holder: this.leaseHolder, life, trueNow })
		this.leaseHolder = life
		this.leaseEnd = trueEnd
	}

	/** @param life - a replica that has given its lease up. */
	released(life: string): void {
		if (this.leaseHolder === life) this.leaseEnd = Number.NEGATIVE_INFINITY
	}
}
