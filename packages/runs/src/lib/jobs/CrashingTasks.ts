/** Tasks of a run that crash each worker that starts them, and what that costs the others. */
import { parseTaskName, type JobRequest } from '@rillrudder/jobs'
import { invariant, Random, type Clock } from '@rillrudder/utils'
import type { FleetWorker } from './FleetWorker'

/** Share of jobs of which one task crashes its workers. */
const CRASHING_JOB_SHARE = 0.05
/** Milliseconds from the task's start to the crash, the least and the most. */
const CRASH_DELAY_MS = [3, 30] as const
/** Milliseconds for which the worker is away, the least and the most. */
const DOWNTIME_MS = [2000, 5000] as const
/** The same where it starts again under its name. */
const RESTART_DOWNTIME_MS = [10, 5000] as const
/** Starts of such a task that may follow once three workers have crashed under it. */
const MAX_STARTS_AFTER_THIRD = 2
const THIRD = 3

/** What crashing tasks need of their run. @internal */
export interface CrashingTasksParts {
	readonly seed: number
	readonly clock: Clock
	/** A worker ends without a word and is back after a while, in milliseconds. */
	readonly crash: (machine: FleetWorker, downtime: number) => void
	/** The same, and it is back under the name that it had. */
	readonly restart: (machine: FleetWorker, downtime: number) => void
	/** Share of crashed workers that are back under their names. */
	readonly restartedShare: number
}

/** What crashing tasks did. @public */
export interface CrashTally {
	/** Tasks that crashed at least one worker. */
	tasks: number
	/** Workers that they crashed. */
	workers: number
	/** Most workers that one of them crashed. */
	maxCrashes: number
	/** Runs of other tasks that ended with those workers. */
	neighbours: number
}

/**
 * The crashing tasks of a run. It draws from numbers of its own, so that runs without them keep their course.
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

	/** A client hands a job in, one task of which may be a crashing one. */
	onJobSubmitted(id: string, { steps }: JobRequest): void {
		if (!this.random.chance(CRASHING_JOB_SHARE)) return
		const step = this.random.integer(0, steps.length - 1)
		const index = this.random.integer(0, steps[step].count - 1)
		this.names.add(`${id}.0.${step}.${index}`)
	}

	/** @returns whether a task of a job crashes its workers. */
	hasCrashingTask(job: string): boolean {
		for (const name of this.names) if (parseTaskName(name)?.job === job) return true
		return false
	}

	/** A worker begins a task. */
	onRunStarted(machine: FleetWorker, task: string): void {
		if (!this.names.has(task)) return
		const before = this.crashes.get(task) ?? 0
		const allowed = before < THIRD + MAX_STARTS_AFTER_THIRD
		invariant(allowed, 'a task that crashes its workers begins no more', { task, before })
		const { id } = machine.worker
		this.parts.clock.after(this.random.integer(...CRASH_DELAY_MS), () => {
			// Its gang may have broken meanwhile: a run that has ended crashes nothing.
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
