/** What of a run's group is whole: who could be lost without losing the group, and who must vote in the end. */
import type { ReplicaStatus, SafetyChecker } from '@rillrudder/consensus'
import { invariant } from '@rillrudder/utils'
import { lastStored, type RunNode } from './RunNode'

/** Voters of an open group with fewer instances than `MANY_VOTERS`. */
const FEW_VOTERS = 3
/** Voters of a larger one. */
const MANY_VOTERS = 5

/**
 * The wholeness of a run's group.
 *
 * @internal
 */
export class Consistency {
	/**
	 * @param nodes - the instances there are, by id.
	 * @param witness - knows what was committed.
	 * @param open - whether instances join and leave.
	 */
	constructor(
		private readonly nodes: ReadonlyMap<string, RunNode>,
		private readonly witness: SafetyChecker,
		private readonly open: boolean
	) {}

	/** Voters that an open group of this size should have. */
	private get expectedVoters(): number {
		return this.nodes.size >= MANY_VOTERS ? MANY_VOTERS : FEW_VOTERS
	}

	/** Every life votes again; of an open group as many as its size asks for, and all of them live. */
	checkMembers(members: ReplicaStatus['members']): void {
		const voters = members.filter((member) => member.voter)
		if (!this.open) {
			invariant(voters.length === members.length, 'every life is a voter again', { members })
			return
		}
		const expected = this.expectedVoters
		const lives = voters.every((one) => this.nodes.get(one.id)?.incarnation === one.incarnation)
		invariant(voters.length === expected && lives, 'as many live voters as there should be', {
			members,
			expected,
		})
		for (const id of this.nodes.keys()) {
			invariant(
				members.some((one) => one.id === id),
				'everyone belongs',
				{ id, members }
			)
		}
	}

	/**
	 * Whether the group could lose this instance and nothing else: all others are up and have all that
	 * was committed. An open group must also have all the voters that its size asks for, and each of
	 * them must know it: one that is gone counts as lost until its successor votes in its place.
	 */
	othersWhole(node: RunNode): boolean {
		const others = [...this.nodes.values()].filter((one) => one !== node)
		if (!this.open) return others.every((one) => this.isWhole(one))
		return others.every((one) => {
			const voters = one.replica.status.members.filter((member) => member.voter)
			return (
				voters.length === this.expectedVoters && voters.every(({ id }) => this.votesWhole(id, node))
			)
		})
	}

	private votesWhole(id: string, spared: RunNode): boolean {
		const voter = this.nodes.get(id)
		return voter !== undefined && (voter === spared || this.isWhole(voter))
	}

	/** Whether an instance is up, votes, and has stored all that was committed. */
	private isWhole(one: RunNode): boolean {
		const known = this.witness.committedCount
		const { members, commit } = one.replica.status
		const self = members.find((member) => member.id === one.founder.id)
		const stored = one.founder.durable ? lastStored(one.disk) : commit
		const votes = self?.voter === true && self.incarnation === one.incarnation
		return one.downUntil === 0 && votes && stored >= known && commit >= known
	}
}
