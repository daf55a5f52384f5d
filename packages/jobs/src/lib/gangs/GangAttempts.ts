/**
 * The attempts to begin gangs. One place decides for all members of an attempt: they are ordered together or not at all, and from
 * the first that can't begin on, those that have are stopped by name, so that none waits in vain and the next attempt can follow.
 */
import { Measure } from '@rillrudder/telemetry'
import type { LeaderContext } from '../leader/LeaderContext'
import { LeaderEvent } from '../leader/LeaderEvent'
import type { Run } from '../leader/runs/Run'
import { stepName } from '../leader/steps/StepWork'
import type { TaskName } from '../records/Job'
import { GangAttempt, GangFailure } from './GangAttempt'

/**
 * Milliseconds before its members' workers give them up by which an attempt must be whole: an order to stop may have to be sent
 * three times.
 */
const STOP_MARGIN = 1000
/** Names of tasks that one line tells, so that it stays short. */
const MOST_NAMES = 10

/** Carries out what is decided for members. @internal */
export interface GangHost {
	/** @returns why a member can't be ordered to start now; undefined when it can. */
	startObstacleOf(run: Run): string | undefined
	/** Orders a member to start. */
	orderStart(run: Run): void
	/** Gives members up: what was never ordered ends, the others are stopped. */
	abandon(runs: readonly Run[]): void
}

type AttemptsContext = Pick<LeaderContext, 'clock' | 'log' | 'meter' | 'timing'>

/**
 * The attempts to begin gangs.
 *
 * @internal
 */
export class GangAttempts {
	private readonly attempts = new Map<string, GangAttempt>()

	constructor(
		private readonly context: AttemptsContext,
		private readonly host: GangHost
	) {}

	/** @returns the runs that belong together with one: itself, or the members of its gang's attempt that have not ended. */
	membersOf(run: Run): readonly Run[] {
		return this.find(run)?.activeMembers ?? [run]
	}

	/** The beginning of a member is committed. All members are ordered once that holds for each of them. */
	onStartCommitted(run: Run): void {
		const attempt = this.findOrCreate(run.name, run.attempt, run.step.count)
		attempt.add(run)
		if (attempt.failure) this.host.abandon([run])
		else if (attempt.isCommitted) this.orderAll(attempt)
	}

	/** The beginning of a member did not take effect. */
	onStartVoided(name: TaskName, number: number, size: number): void {
		const attempt = this.findOrCreate(name, number, size)
		attempt.addVoid()
		if (attempt.isGathering) this.fail(attempt, GangFailure.Void)
		this.closeIfOver(attempt)
	}

	/**
	 * Takes up all members of a job's gangs that an earlier leader began; their workers' lists tell how far they are. What is not all of a gang is
	 * given up.
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

	/** A member's worker has confirmed it, or tells that it has got on. */
	onProgress(run: Run): void {
		const attempt = this.find(run)
		if (!attempt?.noteProgress(run)) return
		const { clock, meter } = this.context
		if (!run.isRestored)
			meter.observe(Measure.GangGathering, clock.now() - (attempt.orderedAt ?? 0))
	}

	/** A member can't begin, or is about to be stopped: so are the others. The caller sees to the member itself. */
	onMemberFailed(run: Run, failure: GangFailure, detail?: string): void {
		const attempt = this.find(run)
		if (attempt?.isGathering) this.fail(attempt, failure, run, detail)
	}

	/** A member has ended. */
	onMemberEnded(run: Run, isDone: boolean): void {
		const attempt = this.find(run)
		if (!attempt) return
		attempt.remove(run)
		if (!isDone && attempt.isGathering) this.fail(attempt, GangFailure.Ended, run)
		this.closeIfOver(attempt)
	}

	/** Gives attempts up that have gathered for too long. */
	tick(now: number): void {
		const longest = this.context.timing.gangWait - STOP_MARGIN
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

	/** @param cause - the member that failed, which its caller sees to; absent where it is not one. */
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
		const named = unconfirmedMembers.slice(0, MOST_NAMES).map(({ taskId }) => taskId)
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
