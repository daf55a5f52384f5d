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
export class SafetyChecker {
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
	 * @param replicaKey - id and incarnation of the replica that leads it.
	 */
	onElected(term: number, replicaKey: string): void {
		const known = this.leaders.get(term)
		invariant(known === undefined || known === replicaKey, 'one leader a term', {
			term,
			known,
			life: replicaKey,
		})
		this.leaders.set(term, replicaKey)
	}

	/** @param entry - an entry that some replica takes as committed. */
	onCommitted(entry: Entry): void {
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
	 * @param replicaKey - the replica that acts under a lease.
	 * @param trueNow - time on a clock that no replica sees.
	 * @param trueEnd - when its lease ends on that clock.
	 */
	onLease(replicaKey: string, trueNow: number, trueEnd: number): void {
		const free = this.leaseHolder === replicaKey || this.leaseEnd <= trueNow
		invariant(free, 'one lease at a time', { holder: this.leaseHolder, life: replicaKey, trueNow })
		this.leaseHolder = replicaKey
		this.leaseEnd = trueEnd
	}

	/** @param replicaKey - a replica that has given its lease up. */
	onLeaseReleased(replicaKey: string): void {
		if (this.leaseHolder === replicaKey) this.leaseEnd = Number.NEGATIVE_INFINITY
	}
}
