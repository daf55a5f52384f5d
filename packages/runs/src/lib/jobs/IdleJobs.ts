/**
 * Finds jobs that are left without a run while there is room for them. It knows only what clients
 * submitted, what the workers do and the records that clients read, never the leader's reasons.
 */
import { isActive, type JobRecord, type JobRequest } from '@rillrudder/jobs'
import { invariant, type Clock } from '@rillrudder/utils'
import type { SubmittedJob } from './checkOutcome'
import { hasRoomTwice, isHalfFree, type RoomyMachine } from './FleetRoom'
import type { JobInvariants } from './JobInvariants'

/** Time after the last fault from which no job may be left. */
const GRACE_MS = 14_000
/** How long a job may be left on end. */
const MAX_IDLE_MS = 3000

/** Dependencies of {@link IdleJobs}. @internal */
export interface IdleJobsParts {
	readonly clock: Clock
	readonly invariants: Pick<JobInvariants, 'isDoneForGood' | 'liveRuns' | 'lastLossAt'>
	readonly submitted: ReadonlyMap<string, SubmittedJob>
	/** @returns the machines that are up. */
	readonly machinesUp: () => readonly RoomyMachine[]
	/** @returns the record of a job that clients read. */
	readonly recordOf: (id: string) => JobRecord | undefined
	/** @returns whether the advice service, if the job asks one, lets a worker run a step. */
	readonly isAllowed: (job: JobRecord, step: string, worker: string) => boolean
}

/** The longest time on end for which a job was left. @internal */
export interface IdleTime {
	readonly job: string
	/** A task whose turn had come. */
	readonly task: string
	readonly idleMs: number
}

/** A step of one repeat of a job. */
interface Turn {
	/** The first of its tasks that is not done. */
	readonly task: string
	/** Number of the step. */
	readonly step: number
}

/**
 * Finds jobs that are left.
 *
 * @internal
 */
export class IdleJobs {
	private readonly since = new Map<string, number>()
	private readonly longest = new Map<string, IdleTime>()
	private readonly faultsEndedAt: number

	/** @param parts - the run that is observed; its faults have just ended. */
	constructor(private readonly parts: IdleJobsParts) {
		this.faultsEndedAt = parts.clock.now()
	}

	/** The jobs that were left for longer than is allowed. */
	get left(): readonly IdleTime[] {
		return [...this.longest.values()].filter(({ idleMs }) => idleMs >= MAX_IDLE_MS)
	}

	/** Notes which jobs are left now. */
	observe(): void {
		const now = this.parts.clock.now()
		const up = this.parts.machinesUp()
		const hasRoom = isHalfFree(up)
		for (const job of this.parts.submitted.values()) {
			const task = hasRoom ? this.leftTask(job, up) : undefined
			if (task === undefined) {
				this.since.delete(job.id)
				continue
			}
			const since = this.since.get(job.id) ?? now
			this.since.set(job.id, since)
			const idleMs = now - since
			if (idleMs > (this.longest.get(job.id)?.idleMs ?? 0)) {
				this.longest.set(job.id, { job: job.id, task, idleMs })
			}
		}
	}

	/** @throws InvariantBroken when a job was left. */
	check(): void {
		for (const { job, task, idleMs } of this.left) {
			invariant(false, 'no job is left without a run while there is room', { job, task, idleMs })
		}
	}

	/** @returns a task that there is room for, of a job without a run; undefined if there is none. */
	private leftTask(job: SubmittedJob, up: readonly RoomyMachine[]): string | undefined {
		const { clock, invariants, recordOf, isAllowed } = this.parts
		const record = recordOf(job.id)
		if (!job.isAccepted || job.isCancelRequested || !record || !isActive(record)) return undefined
		// A crash of a worker is a fault for the jobs that lose runs by it.
		const lastFaultAt = Math.max(this.faultsEndedAt, invariants.lastLossAt(job.id))
		if (clock.now() < lastFaultAt + GRACE_MS || this.isAtWork(job)) return undefined
		const turn = this.turnsOf(job).find(({ task, step }) => {
			const name = task.slice(0, task.lastIndexOf('.'))
			const allowed = up.filter(({ worker }) => isAllowed(record, name, worker.id))
			return hasRoomTwice(job.request.steps[step], allowed)
		})
		return turn?.task
	}

	private isAtWork({ id, request }: SubmittedJob): boolean {
		for (let time = 0; time < repeatOf(request).count; time++) {
			for (let step = 0; step < request.steps.length; step++) {
				const names = namesOf(id, request, time, step)
				if (names.some((task) => this.parts.invariants.liveRuns(task) > 0)) return true
			}
		}
		return false
	}

	/** @returns the steps whose turn has come and that have a task to do. */
	private turnsOf({ id, request }: SubmittedJob): Turn[] {
		const { clock, invariants } = this.parts
		const { count, first, interval } = repeatOf(request)
		const isDone = (task: string): boolean => invariants.isDoneForGood(task)
		const turns: Turn[] = []
		for (let time = 0; time < count; time++) {
			if (clock.date().getTime() < first + time * interval) break
			request.steps.forEach(({ dependsOn }, step) => {
				const task = namesOf(id, request, time, step).find((name) => !isDone(name))
				const hasCome = dependsOn.every((earlier) =>
					namesOf(id, request, time, earlier).every(isDone)
				)
				if (task !== undefined && hasCome) turns.push({ task, step })
			})
		}
		return turns
	}
}

function repeatOf({ repeat }: JobRequest): NonNullable<JobRequest['repeat']> {
	return repeat ?? { count: 1, first: 0, interval: 0 }
}

function namesOf(id: string, { steps }: JobRequest, time: number, step: number): string[] {
	return Array.from({ length: steps[step].count }, (_, index) => `${id}.${time}.${step}.${index}`)
}
