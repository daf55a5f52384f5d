/** Tells people why tasks of a step wait. */
import type { RoomTimes } from '../placement/Reservations'
import type { Option } from './chooseForStep'
import type { StepWork } from './StepWork'

/** What is known of a waiting step at a moment. @internal */
export interface StepSituation {
	/** Open workers of its service that have its label. */
	readonly eligible: readonly Option[]
	/** Those of them that have room for one of its tasks. */
	readonly room: readonly Option[]
	/** Whether all its tasks that wait are held back until it is known whether workers that they have lost crashed. */
	readonly held: boolean
	/** Whether its account's quota has room for what it begins at a time. */
	readonly withinQuota: boolean
	/** When room that is kept for it is expected; undefined when none is kept. */
	readonly kept: RoomTimes | undefined
	/** The moment, on the leader's clock. */
	readonly now: number
}

/** @returns whether the queue's policy allows none of the workers that could run a step. @internal */
export function isBarred({ advice, queue }: StepWork, eligible: readonly Option[]): boolean {
	if (!queue.advice || eligible.length === 0) return false
	return eligible.every(({ view }) => advice.isUnfit(view.id))
}

/** @returns why tasks of a step wait. @internal */
export function waitReason(work: StepWork, situation: StepSituation): string {
	const { eligible, room, withinQuota, kept, now } = situation
	if (situation.held)
		return 'workers fell silent under its tasks, and whether they crashed is awaited'
	const open = eligible.length
	if (open === 0) return 'no open worker of its service has the label that it asks for'
	if (isBarred(work, eligible)) {
		return `its queue's policy allows none of ${open} open workers; others are asked about as they join`
	}
	if (!withinQuota) {
		return `its account ${work.account?.terms.name} has as much running as its quota allows`
	}
	if (room.length === 0) return `none of ${open} open workers has room for one task`
	if (!work.queue.advice) return 'it is about to begin'
	if (kept) {
		const wait = Math.round(Math.max(0, kept.last - now))
		return `room for all of it is expected in ${wait} ms and kept until then`
	}
	return adviceReason(work, room, now)
}

function adviceReason(work: StepWork, room: readonly Option[], now: number): string {
	const { advice, step } = work
	const allowed = room.some(({ view }) => advice.ticket(view.id, now) !== undefined)
	if (allowed && step.gang) return 'not all of its gang has room'
	if (allowed) return 'it is about to begin'
	if (advice.asking) return `advice about ${room.length} workers with room is awaited`
	return `none of ${room.length} workers with room is allowed by its queue's policy`
}
