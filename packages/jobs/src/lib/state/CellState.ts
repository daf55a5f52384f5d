/**
 * The replicated state of a cell: configuration, workers and jobs, changed only by committed
 * commands.
 */
import { StateMachine } from '@rillrudder/group'
import { exhaustive } from '@rillrudder/utils'
import { VError } from 'verror'
import { decodeCommands, type RunStart, type CellCommand } from '../commands/CellCommand'
import { isSameQueue, type CellConfiguration, type Worker } from '../records/Cell'
import { workerNameOf } from '../records/Incarnation'
import type { RecentUsage } from '../shares/RecentUsage'
import type { Change } from './Change'
import { JobTable } from './JobTable'
import type { JobRecord } from './JobRecord'
import { KnownWorkers, type KnownWorkersSnapshot } from './KnownWorkers'

/**
 * Newest version of the snapshot format. All earlier versions are read: version 1 lacks crashes of
 * workers, version 2 the start times of workers, version 3 the shares that accounts had; the
 * missing fields are absent.
 *
 * @internal
 */
export const SNAPSHOT_VERSION = 4
/** Version written for a state without shares of accounts, so that earlier releases can read it. */
const VERSION_WITHOUT_SHARES = 3

type GoneCommand = Extract<CellCommand, { readonly kind: 'gone' }>
type SubmitCommand = Extract<CellCommand, { readonly kind: 'submit' }>

interface CellSnapshot {
	readonly version: number
	readonly configuration?: CellConfiguration
	readonly workers: KnownWorkersSnapshot
	readonly jobs: readonly JobRecord[]
	readonly shares?: RecentUsage
}

/**
 * The state machine of a cell.
 *
 * @public
 */
export class CellState extends StateMachine {
	readonly jobs = new JobTable((change) => this.notifyObserver(change))
	readonly workers = new KnownWorkers()
	/** The newest configuration; undefined before the first. */
	configuration: CellConfiguration | undefined
	/**
	 * The shares that accounts recently had, as last recorded by a leader; undefined where none did.
	 */
	shares: RecentUsage | undefined
	/** Called with each change, if set. */
	observer: ((change: Change) => void) | undefined

	override apply(bytes: Uint8Array): void {
		for (const command of decodeCommands(bytes)) this.applyCommand(command)
	}

	override snapshot(): Uint8Array {
		const kept: CellSnapshot = {
			version: this.shares ? SNAPSHOT_VERSION : VERSION_WITHOUT_SHARES,
			configuration: this.configuration,
			workers: this.workers.snapshot(),
			jobs: this.jobs.snapshot(),
			shares: this.shares,
		}
		return Buffer.from(JSON.stringify(kept))
	}

	override restore(data: Uint8Array): void {
		const kept = JSON.parse(Buffer.from(data).toString()) as CellSnapshot
		if (!(kept.version >= 1 && kept.version <= SNAPSHOT_VERSION)) {
			const info = { written: kept.version, known: SNAPSHOT_VERSION }
			throw new VError(
				{ name: 'RecordInvalid', info },
				'snapshot version %d is not supported',
				kept.version
			)
		}
		this.configuration = kept.configuration
		this.workers.restore(kept.workers)
		this.jobs.restore(kept.jobs)
		// Earlier releases kept the queues with which the jobs were accepted.
		this.jobs.configure(kept.configuration?.queues ?? [])
		this.shares = kept.shares
	}

	private applyCommand(command: CellCommand): void {
		switch (command.kind) {
			case 'configure':
				return this.configure(command.configuration)
			case 'submit':
				return this.submit(command)
			case 'cancel':
				return this.jobs.cancel(command.id, command.at)
			case 'begin':
				return command.whole
					? this.startAllOrNone(command.runs)
					: command.runs.forEach(this.startRun)
			case 'end':
				return command.runs.forEach((run) => this.jobs.end(run, command.at))
			case 'worker':
				return this.addWorker(command.worker, command.sequence ?? 0, command.at)
			case 'drain':
				this.workers.setDraining(command.worker)
				return this.notifyObserver({ kind: 'worker-draining', worker: command.worker })
			case 'silent':
				return command.workers.forEach((id) => this.workers.setSilent(id, command.silent))
			case 'gone':
				return this.removeWorker(command)
			case 'answered':
				return this.jobs.onWorkerAnswered(command.worker)
			case 'presume-crashed':
				return command.workers.forEach((id) => this.jobs.presumeCrashed(id, command.at))
			case 'cleared':
				return this.jobs.clearCrashes(command.tasks)
			case 'at-work':
				return command.runs.forEach((run) => this.jobs.recordAtWork(run))
			case 'begun':
				return this.jobs.recordBegun(command.jobs)
			case 'forget':
				return this.jobs.forget(command.jobs)
			case 'shares':
				this.shares = command.had
				return
			default:
				return exhaustive(command)
		}
	}

	/**
	 * Adds an accepted job with its queue as configured now: a configuration may have been committed
	 * since the job was proposed.
	 */
	private submit({ id, queue: proposed, job, account, beyondRate, at }: SubmitCommand): void {
		const queue = this.configuration?.queues.find((one) => isSameQueue(one, proposed)) ?? proposed
		this.jobs.submit({ id, queue, request: job, account, beyondRate, submitted: at })
	}

	/**
	 * Applies a configuration; one with a version that is not above the current one changes nothing.
	 */
	private configure(configuration: CellConfiguration): void {
		if (configuration.version <= (this.configuration?.version ?? 0)) return
		this.configuration = configuration
		this.jobs.configure(configuration.queues)
		this.notifyObserver({ kind: 'configured', configuration })
	}

	private addWorker(worker: Worker, sequence: number, at?: number): void {
		if (this.workers.isGone(worker.id)) return
		// Two incarnations may have been proposed at the same time. Which one has ended is determined
		// when the other one reports again.
		const named = this.workers.findByName(workerNameOf(worker.id))
		if (named && named.worker.id !== worker.id) return
		this.workers.join(worker, sequence, at)
		this.notifyObserver({ kind: 'worker-joined', worker })
	}

	/**
	 * Starts a run. Its worker may have been removed since the command was proposed; the run is void
	 * then.
	 */
	private readonly startRun = (run: RunStart): void => {
		if (this.workers.find(run.worker)) this.jobs.start(run)
		else this.jobs.reportVoid(run)
	}

	/** Starts all runs of a gang or none. */
	private startAllOrNone(runs: readonly RunStart[]): void {
		const canStartAll = runs.every(
			(run) => this.workers.find(run.worker) !== undefined && this.jobs.canStart(run)
		)
		for (const run of runs) {
			if (canStartAll) this.jobs.start(run)
			else this.jobs.reportVoid(run)
		}
	}

	private removeWorker({ worker, at, crash }: GoneCommand): void {
		this.workers.remove(worker)
		this.jobs.endAllOn(worker, at, crash)
		this.notifyObserver({ kind: 'worker-gone', worker })
	}

	private notifyObserver(change: Change): void {
		this.observer?.(change)
	}
}
