/** Why tasks of a step wait, and what ends that: for people, and for the measures of waits. */
import type { ReservedTimes } from '../../placement/Reservations'
import { hasCapacity, type WorkerOption } from './chooseWorkerForStep'
import type { StepWork } from './StepWork'

/** Why tasks of a step wait. @public */
export const WaitReason = {
	/** It is not known of workers that fell silent under them whether they crashed. */
	Held: 'held',
	/** No open worker may run them at all. */
	Worker: 'worker',
	/** The queue's policy allows none of the open workers. */
	Barred: 'barred',
	/** The account has as much running as it may. */
	Quota: 'quota',
	/** No open worker has room for one. */
	Capacity: 'room',
	/** Room is kept until there is enough. */
	Reservation: 'reservation',
	/** Not all of a gang has room. */
	Gang: 'gang',
	/** The policy's answer is awaited. */
	Advice: 'advice',
	/** The policy allows none of the workers with room. */
	Policy: 'policy',
	/** The cell is behind with its starts, and those that are under way are awaited. */
	StartWindow: 'starts',
	/** Nothing keeps them. */
	None: 'none',
} as const
/** One of the reasons. @public */
export type WaitReason = (typeof WaitReason)[keyof typeof WaitReason]

/** Why tasks of a step wait, in words. @internal */
export interface WaitExplanation {
	readonly reason: WaitReason
	readonly text: string
	/** What ends it. */
	readonly until: string
}

/** What is known of a waiting step at a moment. @internal */
export interface WaitContext {
	/** Open workers of its service that have its label. */
	readonly eligible: readonly WorkerOption[]
	/** Those of them that have room for one of its tasks. */
	readonly withCapacity: readonly WorkerOption[]
	/** Whether all its tasks that wait are held back until it is known whether workers that they have lost crashed. */
	readonly isHeld: boolean
	/** Whether its account's quota has room for what it begins at a time. */
	readonly isWithinQuota: boolean
	/** When room that is kept for it is expected; undefined when none is kept. */
	readonly reservation: ReservedTimes | undefined
	/** Whether no more starts may be under way at a time. */
	readonly isStartWindowFull: boolean
	/** The moment, on the leader's clock. */
	readonly now: number
}

/** What a pass over the waiting steps has seen of a step, some of whose tasks found no place. @internal */
export interface StepCandidates {
	/** Open workers of its service that have its label. */
	readonly eligible: readonly WorkerOption[]
	/** Those of them that may run it now. */
	readonly options: readonly WorkerOption[]
}

/**
 * A cheaper answer than {@link explainWait}, for every step in every pass.
 *
 * @returns why tasks of a step wait that a pass has just tried to place.
 * @internal
 */
export function waitReasonInPass(
	work: StepWork,
	{ eligible, options }: StepCandidates
): WaitReason {
	if (eligible.length === 0) return WaitReason.Worker
	if (options.some((option) => hasCapacity(work, option))) {
		return work.step.gang ? WaitReason.Gang : WaitReason.Reservation
	}
	const { advice } = work
	const others = eligible.some(
		(option) => !advice.isUnfit(option.view.id) && hasCapacity(work, option)
	)
	if (!work.queue.advice || !others) return WaitReason.Capacity
	return advice.asking ? WaitReason.Advice : WaitReason.Policy
}

/** @returns whether the queue's policy allows none of the workers that could run a step. @internal */
export function isBarred({ advice, queue }: StepWork, eligible: readonly WorkerOption[]): boolean {
	if (!queue.advice || eligible.length === 0) return false
	return eligible.every(({ view }) => advice.isUnfit(view.id))
}

/** @returns why tasks of a step wait. @internal */
export function explainWait(work: StepWork, context: WaitContext): WaitExplanation {
	const {
		eligible,
		withCapacity: room,
		isWithinQuota: withinQuota,
		reservation: kept,
		isStartWindowFull: behind,
		now,
		isHeld: held,
	} = context
	if (held) {
		return {
			reason: WaitReason.Held,
			text: 'workers fell silent under its tasks, and whether they crashed is awaited',
			until: 'each of them answers, or is known to have crashed (60 s of silence)',
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
	if (!withinQuota) {
		return {
			reason: WaitReason.Quota,
			text: `its account ${work.account?.terms.name} has as much running as its quota allows`,
			until: 'runs of the account end, or its quota grows',
		}
	}
	if (room.length === 0) {
		return {
			reason: WaitReason.Capacity,
			text: `none of ${open} open workers has room for one task`,
			until: 'runs end, or urgent work makes room',
		}
	}
	if (kept) {
		const wait = Math.round(Math.max(0, kept.last - now))
		return {
			reason: WaitReason.Reservation,
			text: `room for all of it is expected in ${wait} ms and kept`,
			until: 'the runs there end',
		}
	}
	if (behind) {
		return {
			reason: WaitReason.StartWindow,
			text: 'the cell is behind with its starts',
			until: 'workers confirm those that are under way',
		}
	}
	return work.queue.advice ? explainAdviceWait(work, room, now) : explainRemainingWait(work)
}

function explainAdviceWait(
	work: StepWork,
	room: readonly WorkerOption[],
	now: number
): WaitExplanation {
	const { advice } = work
	if (room.some(({ view }) => advice.ticket(view.id, now) !== undefined))
		return explainRemainingWait(work)
	if (advice.asking) {
		return {
			reason: WaitReason.Advice,
			text: `advice about ${room.length} workers with room is awaited`,
			until: 'it comes, or is given up and asked for again',
		}
	}
	return {
		reason: WaitReason.Policy,
		text: `none of ${room.length} workers with room is allowed by its queue's policy`,
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
