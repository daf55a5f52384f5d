/** The memberships of a group by log index; truncating the log also drops its membership changes. */
import type { Member, Membership } from '@rillrudder/protocol'

/** A membership and the index of the entry that set it. @public */
export interface MembershipAt {
	readonly index: number
	readonly membership: Membership
}

const EMPTY_MEMBERSHIP: Membership = { members: [] }

/**
 * The memberships that a replica knows. The newest is in force as soon as it is appended.
 *
 * @public
 */
export class MembershipHistory {
	private changes: MembershipAt[] = []

	/** The membership in force. */
	get current(): Membership {
		return this.changes.length === 0
			? EMPTY_MEMBERSHIP
			: this.changes[this.changes.length - 1].membership
	}

	/** The index of the entry that set the membership in force; 0 when there is none. */
	get currentIndex(): number {
		return this.changes.length === 0 ? 0 : this.changes[this.changes.length - 1].index
	}

	/** The members with a vote. */
	get voters(): Member[] {
		return this.current.members.filter((member) => member.voter)
	}

	/**
	 * @param id - id of an instance.
	 * @returns the member of that id in the membership in force, if any.
	 */
	find(id: string): Member | undefined {
		return this.current.members.find((member) => member.id === id)
	}

	/**
	 * @param index - an index.
	 * @returns the membership in force at that index.
	 */
	asOf(index: number): Membership {
		let found = EMPTY_MEMBERSHIP
		for (const change of this.changes) if (change.index <= index) found = change.membership
		return found
	}

	/** @param change - a change at an index above every earlier one. */
	add(change: MembershipAt): void {
		this.changes.push(change)
	}

	/** @param index - changes after this index are dropped. */
	truncateAfter(index: number): void {
		this.changes = this.changes.filter((change) => change.index <= index)
	}

	/** @param change - replaces all known changes. */
	reset(change: MembershipAt): void {
		this.changes = [change]
	}
}

/**
 * @param values - one value per voter.
 * @returns the largest value that a majority has reached.
 * @internal
 */
export function majorityValue(values: number[]): number {
	const sorted = [...values].sort((a, b) => b - a)
	return sorted[Math.floor(sorted.length / 2)]
}
