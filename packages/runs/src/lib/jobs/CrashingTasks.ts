/** Tasks of a run that crash every worker that starts them, and the effect on other tasks. */
import { parseTaskName, type JobRequest } from '@rillrudder/jobs'
import { invariant, Random, type Clock } from '@rillrudder/utils'
import type { FleetWorker } from './FleetWorker'

/** Share of jobs with one crashing task. */
const CRASHING_JOB_SHARE = 0.05
/** Minimum and maximum time from the start of the task to the crash. */
const CRASH_DELAY_MS = [3, 30] as const
/** Minimum and maximum downtime of the worker. */
const DOWNTIME_MS = [2000, 5000] as const
/** Minimum and maximum downtime of a worker that restarts under its name. */
const RESTART_DOWNTIME_MS = [10, 5000] as const
/** Number of starts of a crashing task that are allowed after it has crashed three workers. */
const MAX_STARTS_AFTER_THIRD = 2
const THIRD = 3

/** Dependencies of {@link CrashingTasks}. @internal */
export interface CrashingTasksParts {
	readonly seed: number
	readonly clock: Clock
	/** Crashes a worker, which starts under a new name after a downtime in milliseconds. */
	readonly crash: (machine: FleetWorker, downtime: number) => void
	/** Crashes a worker, which starts under the same name after a downtime in milliseconds. */
	readonly restart: (machine: FleetWorker, downtime: number) => void
	/** Share of crashed workers that restart under their names. */
	readonly restartedShare: number
}

/** Counts of crashing tasks and of what they crashed. @public */
export interface CrashTally {
	/** Tasks that crashed at least one worker. */
	tasks: number
	/** Crashes of workers by these tasks. */
	workers: number
	/** Largest number of crashes by one task. */
	maxCrashes: number
	/** Runs of other tasks that ended in these crashes. */
	neighbours: number
}

/**
 * The crashing tasks of a run. They have a random generator of their own, so that the course of
 * runs without them does not change.
 *
 * @internal
 */
export class CrashingTasks {
	readonly tally: CrashTally = { tasks: 0, workers: 0, maxCrashes: 0, neighbours: 0 }
	private readonly random: Random
	private readonly names = new Set<string>()
	private readonly crashes = new Map<string, number>()

	constructor(private readonly parts: CrashingTasksParts) {
		this.random = new Random(parts.seed)
	}

	/** Picks a crashing task for some of the submitted jobs. */
	onJobSubmitted(id: string, { steps }: JobRequest): void {
		if (!this.random.chance(CRASHING_JOB_SHARE)) return
		const step = this.random.integer(0, steps.length - 1)
		const index = this.random.integer(0, steps[step].count - 1)
		this.names.add(`${id}.0.${step}.${index}`)
	}

	/** @returns whether a job has a crashing task. */
	hasCrashingTask(job: string): boolean {
		for (const name of this.names) if (parseTaskName(name)?.job === job) return true
		return false
	}

	/** Schedules the crash of a worker that starts a crashing task. */
	onRunStarted(machine: FleetWorker, task: string): void {
		if (!this.names.has(task)) return
		const before = this.crashes.get(task) ?? 0
		const allowed = before < THIRD + MAX_STARTS_AFTER_THIRD
		invariant(allowed, 'a task that crashes its workers begins no more', { task, before })
		const { id } = machine.worker
		this.parts.clock.after(this.random.integer(...CRASH_DELAY_MS), () => {
			// The run may have ended meanwhile, for instance with its gang: it crashes nothing
			// then.
			const isAtWork = machine.isUp && machine.worker.id === id && machine.isRunning(task)
			if (isAtWork) this.crash(machine, task)
		})
	}

	private crash(machine: FleetWorker, task: string): void {
		const before = this.crashes.get(task) ?? 0
		this.crashes.set(task, before + 1)
		const { tally } = this
		if (before === 0) tally.tasks += 1
		tally.workers += 1
		tally.maxCrashes = Math.max(tally.maxCrashes, before + 1)
		tally.neighbours += machine.runCount - 1
		const { restartedShare, restart, crash } = this.parts
		const isRestarted = restartedShare > 0 && this.random.chance(restartedShare)
		if (isRestarted) restart(machine, this.random.integer(...RESTART_DOWNTIME_MS))
		else crash(machine, this.random.integer(...DOWNTIME_MS))
	}
}
