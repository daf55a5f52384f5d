/**
 * One attempt to begin a gang. Its members wait on their workers until all of them are there, so what keeps one of them
 * from beginning ends the attempt for all.
 */
import type { Run } from '../leader/runs/Run'

/** Why an attempt ended before all members were there. @internal */
export const GangFailure = {
	/** A member can't be ordered now. */
	Blocked: 'blocked',
	/** A member's worker has refused its start. */
	Refused: 'refused',
	/** The beginning of a member has not taken effect. */
	Void: 'void',
	/** An earlier leader had not brought a member to its worker. */
	NotStarted: 'not-begun',
	/** A member has ended, or its worker has. */
	Ended: 'ended',
	/** A member is stopped for a reason of its own. */
	Stopped: 'stopped',
	/** Members were not confirmed in time. */
	Late: 'late',
} as const
/** One of the failures. @internal */
export type GangFailure = (typeof GangFailure)[keyof typeof GangFailure]

/**
 * One attempt of a gang, under one attempt number of all its members.
 *
 * @internal
 */
export class GangAttempt {
	/** Members that have begun and not ended, by their tasks. */
	private readonly members = new Map<string, Run>()
	private startedCount = 0
	private voidedCount = 0
	/** Whether no further member can begin under its number. */
	private isClosed = false
	/** Whether all members have been there at one time: from then on the end of one ends the others at their workers. */
	private isComplete = false
	/** When its members were ordered to start, or were taken up from an earlier leader; on the leader's clock. */
	orderedAt: number | undefined
	/** Why it was given up; undefined while it was not. */
	failure: GangFailure | undefined

	/**
	 * @param step - name of the gang's step.
	 * @param number - attempt number of its members.
	 * @param size - how many members the gang has.
	 */
	constructor(
		readonly step: string,
		readonly number: number,
		readonly size: number
	) {}

	/** Members that have begun and not ended. */
	get activeMembers(): readonly Run[] {
		return [...this.members.values()]
	}

	/** Whether the beginning of every member is committed, and none has ended. */
	get isCommitted(): boolean {
		return this.startedCount === this.size && this.members.size === this.size
	}

	/** Whether it was neither given up nor whole so far. */
	get isGathering(): boolean {
		return !this.isComplete && this.failure === undefined
	}

	/** Whether nothing of it is left. */
	get isOver(): boolean {
		return (
			this.members.size === 0 &&
			(this.isClosed || this.startedCount + this.voidedCount >= this.size)
		)
	}

	/** Members whose workers have not confirmed them. */
	get unconfirmedMembers(): readonly Run[] {
		return this.activeMembers.filter(({ confirmedAt }) => confirmedAt === undefined)
	}

	/** The beginning of a member is committed. */
	add(run: Run): void {
		this.members.set(run.taskId, run)
		this.startedCount += 1
	}

	/** The beginning of a member did not take effect. */
	addVoid(): void {
		this.voidedCount += 1
	}

	/** No further member begins under its number: an earlier leader decided it, and what that had begun is known. */
	close(): void {
		this.isClosed = true
	}

	/** A member has ended. */
	remove(run: Run): void {
		this.members.delete(run.taskId)
	}

	/** A member was confirmed or has got on. @returns whether all are there, as was not known before. */
	noteProgress({ percent }: Run): boolean {
		if (!this.isGathering) return false
		// Members work from the moment when all are there.
		this.isComplete = percent > 0 || (this.isCommitted && this.unconfirmedMembers.length === 0)
		return this.isComplete
	}
}
