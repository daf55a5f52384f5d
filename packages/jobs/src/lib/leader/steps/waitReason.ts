/** Explains why tasks of a step wait and what ends the wait, for people and for metrics. */
import type { ReservedTimes } from '../../placement/Reservations'
import { hasCapacity, type WorkerOption } from './chooseWorkerForStep'
import type { StepWork } from './StepWork'

/** Why tasks of a step wait. @public */
export const WaitReason = {
	/**
	 * Workers that ran the tasks became unreachable, and it is not known yet whether they crashed.
	 */
	Held: 'held',
	/** No open worker may run them at all. */
	Worker: 'worker',
	/** The queue's policy allows none of the open workers. */
	Barred: 'barred',
	/** The account's quota does not allow more. */
	Quota: 'quota',
	/** No open worker has capacity for a task. */
	Capacity: 'room',
	/** They are isolated, and no worker with capacity admits them yet. */
	Isolated: 'isolated',
	/** Capacity is reserved until there is enough. */
	Reservation: 'reservation',
	/** There is not enough capacity for a whole gang. */
	Gang: 'gang',
	/** The policy's answer is awaited. */
	Advice: 'advice',
	/** The policy allows none of the workers with capacity. */
	Policy: 'policy',
	/** The cell is behind with starts; those under way have to be confirmed first. */
	StartWindow: 'starts',
	/** Nothing keeps them from starting. */
	None: 'none',
} as const
/** One of the reasons. @public */
export type WaitReason = (typeof WaitReason)[keyof typeof WaitReason]

/** A wait reason with its description for people. @internal */
export interface WaitExplanation {
	readonly reason: WaitReason
	readonly text: string
	/** What ends the wait. */
	readonly until: string
}

/** What is known of a waiting step. @internal */
export interface WaitContext {
	/** Open workers of its service that have its label. */
	readonly eligible: readonly WorkerOption[]
	/** Those of them with capacity for one of its tasks. */
	readonly withCapacity: readonly WorkerOption[]
	/**
	 * Whether all its waiting tasks are held back until it is known whether the workers that they
	 * lost have crashed.
	 */
	readonly isHeld: boolean
	/** Whether only the isolation of its tasks keeps them from starting. */
	readonly isIsolated: boolean
	/** Whether its account's quota allows what the step starts at a time. */
	readonly isWithinQuota: boolean
	/** When its reserved capacity is expected; undefined without a reservation. */
	readonly reservation: ReservedTimes | undefined
	/** Whether the window of concurrent starts is full. */
	readonly isStartWindowFull: boolean
	/** The current time, on the leader's clock. */
	readonly now: number
}

/**
 * The workers that a pass has considered for a step, some of whose tasks could not be placed.
 *
 * @internal
 */
export interface StepCandidates {
	/** Open workers of its service that have its label. */
	readonly eligible: readonly WorkerOption[]
	/** Those of them that may run it now. */
	readonly options: readonly WorkerOption[]
	/** @returns whether only the isolation of its tasks keeps them from starting. */
	readonly isIsolated: () => boolean
}

/**
 * Determines the reason only, which is cheaper than {@link explainWait}, for every step in every
 * pass.
 *
 * @returns why tasks of a step wait that a pass has just tried to place.
 * @internal
 */
export function waitReasonInPass(
	work: StepWork,
	{ eligible, options, isIsolated }: StepCandidates
): WaitReason {
	if (eligible.length === 0) return WaitReason.Worker
	if (options.some((option) => hasCapacity(work, option))) {
		if (work.step.gang) return WaitReason.Gang
		return isIsolated() ? WaitReason.Isolated : WaitReason.Reservation
	}
	const { advice } = work
	const others = eligible.some(
		(option) => !advice.isUnfit(option.view.id) && hasCapacity(work, option)
	)
	if (!work.queue.advice || !others) return WaitReason.Capacity
	return advice.isAsking ? WaitReason.Advice : WaitReason.Policy
}

/**
 * @returns whether the queue's policy allows none of the workers that could run a step.
 *
 * @internal
 */
export function isBarred({ advice, queue }: StepWork, eligible: readonly WorkerOption[]): boolean {
	if (!queue.advice || eligible.length === 0) return false
	return eligible.every(({ view }) => advice.isUnfit(view.id))
}

/** @returns why tasks of a step wait. @internal */
export function explainWait(work: StepWork, context: WaitContext): WaitExplanation {
	const { eligible, withCapacity, isWithinQuota, reservation, isStartWindowFull, now } = context
	const { isHeld, isIsolated } = context
	if (isHeld) {
		return {
			reason: WaitReason.Held,
			text: 'workers fell silent under its tasks, and whether they crashed is awaited',
			until: 'each of them answers, or counts as crashed (7 s without an answer)',
		}
	}
	const open = eligible.length
	if (open === 0) {
		return {
			reason: WaitReason.Worker,
			text: 'no open worker of its service has the label that it asks for',
			until: 'one joins, or is heard and found well again',
		}
	}
	if (isBarred(work, eligible)) {
		return {
			reason: WaitReason.Barred,
			text: `its queue's policy allows none of ${open} open workers`,
			until: 'another one joins',
		}
	}
	if (!isWithinQuota) {
		return {
			reason: WaitReason.Quota,
			text: `its account ${work.account?.terms.name} has as much running as its quota allows`,
			until: 'runs of the account end, or its quota grows',
		}
	}
	if (withCapacity.length === 0) {
		return {
			reason: WaitReason.Capacity,
			text: `none of ${open} open workers has room for one task`,
			until: 'runs end, or urgent work makes room',
		}
	}
	if (isIsolated) {
		return {
			reason: WaitReason.Isolated,
			text: 'its tasks are isolated since they lost workers, and no worker with room admits them',
			until: 'runs of other jobs on one, and isolated ones of its job, have run for 0.5 s',
		}
	}
	if (reservation) {
		const wait = Math.round(Math.max(0, reservation.last - now))
		return {
			reason: WaitReason.Reservation,
			text: `room for all of it is expected in ${wait} ms and kept`,
			until: 'the runs there end',
		}
	}
	if (isStartWindowFull) {
		return {
			reason: WaitReason.StartWindow,
			text: 'the cell is behind with its starts',
			until: 'workers confirm those that are under way',
		}
	}
	return work.queue.advice ? explainAdviceWait(work, withCapacity, now) : explainRemainingWait(work)
}

function explainAdviceWait(
	work: StepWork,
	withCapacity: readonly WorkerOption[],
	now: number
): WaitExplanation {
	const { advice } = work
	if (withCapacity.some(({ view }) => advice.ticketOf(view.id, now) !== undefined))
		return explainRemainingWait(work)
	if (advice.isAsking) {
		return {
			reason: WaitReason.Advice,
			text: `advice about ${withCapacity.length} workers with room is awaited`,
			until: 'it comes, or is given up and asked for again',
		}
	}
	return {
		reason: WaitReason.Policy,
		text: `none of ${withCapacity.length} workers with room is allowed by its queue's policy`,
		until: 'others have room, or join',
	}
}

function explainRemainingWait({ step }: StepWork): WaitExplanation {
	if (step.gang) {
		return {
			reason: WaitReason.Gang,
			text: 'not all of its gang has room',
			until: 'enough runs end at workers that may run it',
		}
	}
	return {
		reason: WaitReason.None,
		text: 'it is about to begin',
		until: 'the next pass, within 0.1 s',
	}
}
