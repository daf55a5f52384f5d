/** Decides the next change of an open membership: who votes, who is replaced, who is removed. */
import type { Member } from '@rillrudder/protocol'

/**
 * Voters of a group with fewer than `LARGE_GROUP_MEMBERS` members with disks; tolerates the loss of
 * one.
 */
const SMALL_GROUP_VOTERS = 3
/** Voters of a larger group; tolerates the loss of two. */
const LARGE_GROUP_VOTERS = 5
/** Number of members with disks from which a group has `LARGE_GROUP_VOTERS` voters. */
const LARGE_GROUP_MEMBERS = 5
/**
 * Milliseconds without an answer after which a voter may be replaced: longer than a restart takes,
 * shorter than the time within which a second loss is to be expected.
 */
export const VOTER_TIMEOUT_MS = 3000
/**
 * Milliseconds without an answer after which a learner is removed; it applies again when it is
 * back.
 */
export const LEARNER_TIMEOUT_MS = 60_000

/** A member and its state as the leader sees it. @internal */
export interface MemberHealth {
	readonly member: Member
	/** Milliseconds since its last answer; 0 for the leader itself. */
	readonly sinceContactMs: number
	/** Whether its log has reached the commit index. */
	readonly caughtUp: boolean
}

/** One change of the membership. @internal */
export type MembershipChange =
	{ readonly kind: 'set'; readonly member: Member } | { readonly kind: 'drop'; readonly id: string }

/**
 * @param members - all members.
 * @param leader - the leader's id; it is never dropped.
 * @returns the change to make next, or undefined when none is needed.
 * @internal
 */
export function nextMembershipChange(
	members: readonly MemberHealth[],
	leader: string
): MembershipChange | undefined {
	const voters = members.filter((health) => health.member.voter)
	const durable = members.filter((health) => health.member.durable).length
	const target = durable >= LARGE_GROUP_MEMBERS ? LARGE_GROUP_VOTERS : SMALL_GROUP_VOTERS
	if (voters.length > target) return reduceVoters(voters, leader)
	const unreachable = voters.filter((health) => health.sinceContactMs > VOTER_TIMEOUT_MS)
	const hasVacancy = voters.length < target || unreachable.length > 0
	const candidate = hasVacancy ? bestLearner(members, voters) : undefined
	if (candidate) return { kind: 'set', member: { ...candidate.member, voter: true } }
	const expired = members.find(
		(health) =>
			!health.member.voter &&
			health.sinceContactMs > LEARNER_TIMEOUT_MS &&
			health.member.id !== leader
	)
	return expired && { kind: 'drop', id: expired.member.id }
}

/**
 * Removes an unreachable voter; if there is none, demotes a voter of the data centre with the most
 * voters.
 */
function reduceVoters(
	voters: readonly MemberHealth[],
	leader: string
): MembershipChange | undefined {
	const others = voters.filter((health) => health.member.id !== leader)
	const unreachable = others.find((health) => health.sinceContactMs > VOTER_TIMEOUT_MS)
	if (unreachable) return { kind: 'drop', id: unreachable.member.id }
	const [fullest] = [...others].sort(
		(a, b) =>
			votersInDataCentreOf(voters, b) - votersInDataCentreOf(voters, a) ||
			a.member.id.localeCompare(b.member.id)
	)
	return fullest && { kind: 'set', member: { ...fullest.member, voter: false } }
}

/** @returns the caught-up learner whose data centre has the fewest reachable voters. */
function bestLearner(
	members: readonly MemberHealth[],
	voters: readonly MemberHealth[]
): MemberHealth | undefined {
	const reachable = voters.filter((health) => health.sinceContactMs <= VOTER_TIMEOUT_MS)
	const ready = members.filter(
		({ member, caughtUp, sinceContactMs }) =>
			!member.voter && member.durable && caughtUp && sinceContactMs <= VOTER_TIMEOUT_MS
	)
	return ready.sort(
		(a, b) =>
			votersInDataCentreOf(reachable, a) - votersInDataCentreOf(reachable, b) ||
			a.member.id.localeCompare(b.member.id)
	)[0]
}

function votersInDataCentreOf(voters: readonly MemberHealth[], health: MemberHealth): number {
	return voters.filter((voter) => voter.member.dataCentre === health.member.dataCentre).length
}
