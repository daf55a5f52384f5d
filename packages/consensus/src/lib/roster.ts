/** Decides the next change of an open membership: who votes, who is replaced, who is forgotten. */
import type { Member } from '@rillrudder/protocol'

/** Voters of a group that has fewer members with disks than `LARGE`; bears the loss of one. */
const FEW_VOTERS = 3
/** Voters of a larger group; bears the loss of two. */
const MANY_VOTERS = 5
/** Members with disks from which a group takes `MANY_VOTERS`. */
const LARGE = 5
/**
 * Milliseconds of silence after which a voter may be replaced: longer than a restart takes, shorter
 * than the span in which a second loss is to be expected.
 */
export const VOTER_SILENT = 3000
/** Milliseconds of silence after which a learner is forgotten; it applies again when it is back. */
export const LEARNER_FORGOTTEN = 60_000

/** A member as its leader sees it. @internal */
export interface Seat {
	readonly member: Member
	/** Milliseconds since it was last heard of; 0 for the leader itself. */
	readonly silence: number
	/** Whether its log has reached the commit index. */
	readonly caughtUp: boolean
}

/** One change of the membership. @internal */
export type SeatChange =
	{ readonly kind: 'set'; readonly member: Member } | { readonly kind: 'drop'; readonly id: string }

/**
 * @param seats - all members.
 * @param leader - the leader's id; it is never dropped.
 * @returns the change to make next, or undefined when all is as it should be.
 * @internal
 */
export function nextSeatChange(seats: readonly Seat[], leader: string): SeatChange | undefined {
	const voters = seats.filter((seat) => seat.member.voter)
	const durable = seats.filter((seat) => seat.member.durable).length
	const target = durable >= LARGE ? MANY_VOTERS : FEW_VOTERS
	if (voters.length > target) return fewerVoters(voters, leader)
	const silent = voters.filter((seat) => seat.silence > VOTER_SILENT)
	const vacant = voters.length < target || silent.length > 0
	const candidate = vacant ? bestCandidate(seats, voters) : undefined
	if (candidate) return { kind: 'set', member: { ...candidate.member, voter: true } }
	const forgotten = seats.find(
		(seat) => !seat.member.voter && seat.silence > LEARNER_FORGOTTEN && seat.member.id !== leader
	)
	return forgotten && { kind: 'drop', id: forgotten.member.id }
}

/** A silent voter goes; if all are heard of, one of the fullest data centre becomes a learner. */
function fewerVoters(voters: readonly Seat[], leader: string): SeatChange | undefined {
	const others = voters.filter((seat) => seat.member.id !== leader)
	const silent = others.find((seat) => seat.silence > VOTER_SILENT)
	if (silent) return { kind: 'drop', id: silent.member.id }
	const [most] = [...others].sort(
		(a, b) => crowd(voters, b) - crowd(voters, a) || a.member.id.localeCompare(b.member.id)
	)
	return most && { kind: 'set', member: { ...most.member, voter: false } }
}

/** The learner whose data centre has the fewest voters that are heard of. */
function bestCandidate(seats: readonly Seat[], voters: readonly Seat[]): Seat | undefined {
	const heard = voters.filter((seat) => seat.silence <= VOTER_SILENT)
	const ready = seats.filter(
		({ member, caughtUp, silence }) =>
			!member.voter && member.durable && caughtUp && silence <= VOTER_SILENT
	)
	return ready.sort(
		(a, b) => crowd(heard, a) - crowd(heard, b) || a.member.id.localeCompare(b.member.id)
	)[0]
}

function crowd(voters: readonly Seat[], seat: Seat): number {
	return voters.filter((voter) => voter.member.dataCentre === seat.member.dataCentre).length
}
