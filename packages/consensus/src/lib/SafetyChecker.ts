/**
 * Checks the safety properties that hold across the replicas of a group. A process sees only its own
 * replica; randomised runs share one checker between all replicas of a group.
 */
import { invariant } from '@rillrudder/utils'
import type { Entry } from '@rillrudder/protocol'

/**
 * Checks that a term has one leader, that a committed entry never changes, and that one replica at a
 * time holds the lease.
 *
 * @public
 */
export class SafetyChecker {
	private readonly leaders = new Map<number, string>()
	private readonly committedTerms: number[] = []
	private readonly committedData: Uint8Array[] = []
	private leaseHolder = ''
	private leaseEnd = Number.NEGATIVE_INFINITY

	/** The number of indexes that have been committed on some replica. */
	get committedCount(): number {
		return this.committedTerms.length
	}

	/**
	 * @param term - the term that was won.
	 * @param replicaKey - id and incarnation of its leader.
	 */
	onElected(term: number, replicaKey: string): void {
		const known = this.leaders.get(term)
		invariant(known === undefined || known === replicaKey, 'one leader per term', {
			term,
			known,
			life: replicaKey,
		})
		this.leaders.set(term, replicaKey)
	}

	/** @param entry - an entry that some replica regards as committed. */
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
	 * @param trueNow - reference time, which no replica can read.
	 * @param trueEnd - when its lease ends in reference time.
	 */
	onLease(replicaKey: string, trueNow: number, trueEnd: number): void {
		const free = this.leaseHolder === replicaKey || this.leaseEnd <= trueNow
		invariant(free, 'one lease at a time', { holder: this.leaseHolder, life: replicaKey, trueNow })
		this.leaseHolder = replicaKey
		this.leaseEnd = trueEnd
	}

	/** @param replicaKey - the replica that has released its lease. */
	onLeaseReleased(replicaKey: string): void {
		if (this.leaseHolder === replicaKey) this.leaseEnd = Number.NEGATIVE_INFINITY
	}
}
