/**
 * Coordinates the attempts to start gangs. The members of an attempt are ordered to start together
 * or not at all. When one of them can't start, the others are stopped explicitly, so that none
 * waits in vain and the next attempt can follow.
 */
import { Measure } from '@rillrudder/telemetry'
import type { LeaderContext } from '../leader/LeaderContext'
import { LeaderEvent } from '../leader/LeaderEvent'
import type { Run } from '../leader/runs/Run'
import { stepName } from '../leader/steps/StepWork'
import type { TaskName } from '../records/Job'
import { GangAttempt, GangFailure } from './GangAttempt'

/**
 * Milliseconds before the workers abandon waiting members at which an attempt must be complete. The
 * margin allows for sending a stop order three times.
 */
const STOP_MARGIN_MS = 1000
/** Task names in one log line, so that it stays short. */
const MAX_LOGGED_TASKS = 10

/** Carries out decisions about members. @internal */
export interface GangHost {
	/** @returns why a member can't be ordered to start now; undefined if it can. */
	startObstacleOf(run: Run): string | undefined
	/** Orders a member to start. */
	orderStart(run: Run): void
	/** Abandons members: those never ordered to start end at once, the others are stopped. */
	abandon(runs: readonly Run[]): void
}

type AttemptsContext = Pick<LeaderContext, 'clock' | 'log' | 'meter' | 'timing'>

/**
 * The current attempts to start gangs.
 *
 * @internal
 */
export class GangAttempts {
	private readonly attempts = new Map<string, GangAttempt>()

	constructor(
		private readonly context: AttemptsContext,
		private readonly host: GangHost
	) {}

	/**
	 * @returns the members of a run's gang attempt that have not ended; only the run itself if it
	 * has no attempt.
	 */
	membersOf(run: Run): readonly Run[] {
		return this.find(run)?.activeMembers ?? [run]
	}

	/**
	 * Handles the committed start of a member. The last one triggers the start orders of all
	 * members.
	 */
	onStartCommitted(run: Run): void {
		const attempt = this.findOrCreate(run.name, run.attempt, run.step.count)
		attempt.add(run)
		if (attempt.failure) this.host.abandon([run])
		else if (attempt.isCommitted) this.orderAll(attempt)
	}

	/** Handles the start of a member that was committed without effect. */
	onStartVoided(name: TaskName, number: number, size: number): void {
		const attempt = this.findOrCreate(name, number, size)
		attempt.addVoid()
		if (attempt.isGathering) this.fail(attempt, GangFailure.Void)
		this.closeIfOver(attempt)
	}

	/**
	 * Restores the members of a job's gangs that an earlier leader started. Polls show which of
	 * them have reached their workers. Incomplete gangs are abandoned.
	 */
	restore(runs: readonly Run[]): void {
		const attempts = new Set<GangAttempt>()
		for (const run of runs) {
			const attempt = this.findOrCreate(run.name, run.attempt, run.step.count)
			attempt.add(run)
			attempt.orderedAt ??= this.context.clock.now()
			attempts.add(attempt)
		}
		for (const attempt of attempts) {
			attempt.close()
			if (!attempt.isCommitted) this.fail(attempt, GangFailure.NotStarted)
		}
	}

	/** Handles a confirmation of a member or a report of its progress. */
	onProgress(run: Run): void {
		const attempt = this.find(run)
		if (!attempt?.noteProgress(run)) return
		const { clock, meter } = this.context
		if (!run.isRestored)
			meter.observe(Measure.GangGathering, clock.now() - (attempt.orderedAt ?? 0))
	}

	/**
	 * Abandons the attempt of a member that can't start or is about to be stopped. The caller
	 * handles that member, the others are stopped.
	 */
	onMemberFailed(run: Run, failure: GangFailure, detail?: string): void {
		const attempt = this.find(run)
		if (attempt?.isGathering) this.fail(attempt, failure, run, detail)
	}

	/** Handles the end of a member. */
	onMemberEnded(run: Run, isDone: boolean): void {
		const attempt = this.find(run)
		if (!attempt) return
		attempt.remove(run)
		if (!isDone && attempt.isGathering) this.fail(attempt, GangFailure.Ended, run)
		this.closeIfOver(attempt)
	}

	/** Abandons attempts that have gathered for too long. */
	tick(now: number): void {
		const longest = this.context.timing.gangWait - STOP_MARGIN_MS
		for (const attempt of this.attempts.values()) {
			const { orderedAt } = attempt
			if (!attempt.isGathering || orderedAt === undefined) continue
			if (now - orderedAt >= longest) this.fail(attempt, GangFailure.Late)
		}
	}

	private orderAll(attempt: GangAttempt): void {
		for (const run of attempt.activeMembers) {
			const obstacle = this.host.startObstacleOf(run)
			if (obstacle === undefined) continue
			this.fail(attempt, GangFailure.Blocked, run, obstacle)
			return this.host.abandon([run])
		}
		attempt.orderedAt = this.context.clock.now()
		for (const run of attempt.activeMembers) {
			if (attempt.failure) break
			this.host.orderStart(run)
		}
	}

	/**
	 * @param cause - the member that failed, which the caller handles; undefined if it was no
	 * single member.
	 */
	private fail(attempt: GangAttempt, failure: GangFailure, cause?: Run, detail?: string): void {
		attempt.failure = failure
		const others = attempt.activeMembers.filter((run) => run !== cause)
		this.report(attempt, failure, cause, detail)
		this.host.abandon(others)
	}

	private report(attempt: GangAttempt, reason: GangFailure, cause?: Run, detail?: string): void {
		const { log, meter, clock } = this.context
		meter.count(Measure.GangsGivenUp, { reason })
		const { step, number, size, orderedAt, unconfirmedMembers } = attempt
		const gathered = orderedAt === undefined ? 0 : Math.round(clock.now() - orderedAt)
		const named = unconfirmedMembers.slice(0, MAX_LOGGED_TASKS).map(({ taskId }) => taskId)
		log.info(LeaderEvent.GangGivenUp, {
			step,
			attempt: number,
			members: size,
			reason,
			detail,
			task: cause?.taskId,
			worker: cause?.worker,
			gathered,
			missing: named.join(' '),
		})
	}

	private findOrCreate(name: TaskName, number: number, size: number): GangAttempt {
		const step = stepName(name.job, name.repeat, name.step)
		const key = keyOf(step, number)
		const known = this.attempts.get(key)
		if (known) return known
		const attempt = new GangAttempt(step, number, size)
		this.attempts.set(key, attempt)
		return attempt
	}

	private find({ name, attempt, step }: Run): GangAttempt | undefined {
		if (!step.gang) return undefined
		return this.attempts.get(keyOf(stepName(name.job, name.repeat, name.step), attempt))
	}

	private closeIfOver(attempt: GangAttempt): void {
		if (attempt.isOver) this.attempts.delete(keyOf(attempt.step, attempt.number))
	}
}

function keyOf(step: string, number: number): string {
	return `${step}@${number}`
}
