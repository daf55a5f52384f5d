/**
 * One attempt to start a gang. Its members wait on their workers until all of them have started, so
 * whatever prevents one member from starting ends the attempt for all.
 */
import type { Run } from '../leader/runs/Run'

/**
 * Why an attempt failed before all members had started. Values appear in logs and metrics.
 *
 * @internal
 */
export const GangFailure = {
	/** A member can't be ordered to start now. */
	Blocked: 'blocked',
	/** A worker has refused the start of a member. */
	Refused: 'refused',
	/** The start of a member was committed without effect. */
	Void: 'void',
	/** A member that an earlier leader decided had not reached its worker. */
	NotStarted: 'not-begun',
	/** A member or its worker has ended. */
	Ended: 'ended',
	/** A member is stopped for another reason, such as preemption. */
	Stopped: 'stopped',
	/** Not all members were confirmed in time. */
	Late: 'late',
} as const
/** One of the failures. @internal */
export type GangFailure = (typeof GangFailure)[keyof typeof GangFailure]

/**
 * One attempt of a gang. All its members have the same attempt number.
 *
 * @internal
 */
export class GangAttempt {
	/** Members whose start is committed and that have not ended, by task. */
	private readonly members = new Map<string, Run>()
	private started = 0
	private voided = 0
	/** Whether no further member can start under its number. */
	private isClosed = false
	/** Whether all members were running at one time. From then on the workers end them together. */
	private isComplete = false
	/**
	 * When its members were ordered to start, or restored by this leader, on the leader's clock.
	 */
	orderedAt: number | undefined
	/** Why it was abandoned; undefined if it was not. */
	failure: GangFailure | undefined

	/**
	 * @param step - the name of the gang's step.
	 * @param number - the attempt number of its members.
	 * @param size - the number of members of the gang.
	 */
	constructor(
		readonly step: string,
		readonly number: number,
		readonly size: number
	) {}

	/** Members whose start is committed and that have not ended. */
	get activeMembers(): readonly Run[] {
		return [...this.members.values()]
	}

	/** Whether the start of every member is committed and none has ended. */
	get isCommitted(): boolean {
		return this.started === this.size && this.members.size === this.size
	}

	/** Whether its members are still gathering: it was neither abandoned nor complete so far. */
	get isGathering(): boolean {
		return !this.isComplete && this.failure === undefined
	}

	/** Whether all its members have ended and no further one can start. */
	get isOver(): boolean {
		return this.members.size === 0 && (this.isClosed || this.started + this.voided >= this.size)
	}

	/** Members whose workers have not confirmed them. */
	get unconfirmedMembers(): readonly Run[] {
		return this.activeMembers.filter(({ confirmedAt }) => confirmedAt === undefined)
	}

	/** Adds a member whose start is committed. */
	add(run: Run): void {
		this.members.set(run.taskId, run)
		this.started += 1
	}

	/** Counts a member whose start was committed without effect. */
	addVoid(): void {
		this.voided += 1
	}

	/**
	 * Excludes further members: in an attempt that an earlier leader decided all started members
	 * are known.
	 */
	close(): void {
		this.isClosed = true
	}

	/** Removes a member that has ended. */
	remove(run: Run): void {
		this.members.delete(run.taskId)
	}

	/**
	 * Handles a confirmation or progress of a member.
	 *
	 * @returns whether the attempt has just become complete.
	 */
	noteProgress({ percent }: Run): boolean {
		if (!this.isGathering) return false
		// Members make progress only once all of them have started.
		this.isComplete = percent > 0 || (this.isCommitted && this.unconfirmedMembers.length === 0)
		return this.isComplete
	}
}
