/** The replicated state of a cell: configuration, workers and jobs, changed by committed commands. */
import { StateMachine } from '@rillrudder/group'
import { exhaustive } from '@rillrudder/utils'
import { VError } from 'verror'
import { decodeCommands, type Begin, type CellCommand } from '../commands/CellCommand'
import type { CellConfiguration, Worker } from '../records/Cell'
import { workerNameOf } from '../records/Incarnation'
import type { RecentUsage } from '../shares/RecentUsage'
import type { Change } from './Change'
import { JobTable } from './JobTable'
import type { JobRecord } from './JobRecord'
import { KnownWorkers, type KnownWorkersSnapshot } from './KnownWorkers'

/**
 * Newest version of the snapshot. Version 1 has no crashes of workers, version 2 does not say when workers started, version 3 not what
 * accounts had; these are absent then.
 *
 * @internal
 */
export const SNAPSHOT_VERSION = 4
/** Version that is written of a state that does not know what accounts had, so that earlier programs read it. */
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
 * The replicated state of a cell.
 *
 * @public
 */
export class CellState extends StateMachine {
	readonly jobs = new JobTable((change) => this.changed(change))
	readonly workers = new KnownWorkers()
	/** The newest configuration; absent before the first. */
	configuration: CellConfiguration | undefined
	/** What accounts had of late, as a leader last noted it; absent where none did. */
	shares: RecentUsage | undefined
	/** Told of each change while set. */
	observer: ((change: Change) => void) | undefined

	override apply(bytes: Uint8Array): void {
		for (const command of decodeCommands(bytes)) this.run(command)
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
			throw new VError({ name: 'RecordInvalid', info }, 'snapshot of version %d', kept.version)
		}
		this.configuration = kept.configuration
		this.workers.restore(kept.workers)
		this.jobs.restore(kept.jobs)
		this.shares = kept.shares
	}

	private run(command: CellCommand): void {
		switch (command.kind) {
			case 'configure':
				return this.configure(command.configuration)
			case 'submit':
				return this.submit(command)
			case 'cancel':
				return this.jobs.cancel(command.id, command.at)
			case 'begin':
				return command.whole ? this.beginWhole(command.runs) : command.runs.forEach(this.begin)
			case 'end':
				return command.runs.forEach((run) => this.jobs.end(run, command.at))
			case 'worker':
				return this.join(command.worker, command.sequence ?? 0, command.at)
			case 'drain':
				this.workers.drain(command.worker)
				return this.changed({ kind: 'worker-draining', worker: command.worker })
			case 'silent':
				return command.workers.forEach((id) => this.workers.silent(id, command.silent))
			case 'gone':
				return this.gone(command)
			case 'answered':
				return this.jobs.workerAnswered(command.worker)
			case 'cleared':
				return this.jobs.cleared(command.tasks)
			case 'at-work':
				return command.runs.forEach((run) => this.jobs.seenAtWork(run))
			case 'forget':
				return this.jobs.forget(command.jobs)
			case 'shares':
				this.shares = command.had
				return
			default:
				return exhaustive(command)
		}
	}

	private submit({ id, queue, job, account, beyondRate, at }: SubmitCommand): void {
		this.jobs.submit({ id, queue, request: job, account, beyondRate, submitted: at })
	}

	/** The highest version holds; a lower or equal one changes nothing. */
	private configure(configuration: CellConfiguration): void {
		if (configuration.version <= (this.configuration?.version ?? 0)) return
		this.configuration = configuration
		this.changed({ kind: 'configured', configuration })
	}

	private join(worker: Worker, sequence: number, at?: number): void {
		if (this.workers.isGone(worker.id)) return
		// Two lives may have been decided on at the same time; which one is over is asked when the other one reports again.
		const named = this.workers.named(workerNameOf(worker.id))
		if (named && named.worker.id !== worker.id) return
		this.workers.join(worker, sequence, at)
		this.changed({ kind: 'worker-joined', worker })
	}

	/** A worker may have ended between the decision and its place in the log. */
	private readonly begin = (run: Begin): void => {
		if (this.workers.find(run.worker)) this.jobs.begin(run)
		else this.jobs.voided(run)
	}

	/** Begins all of a gang or none. */
	private beginWhole(runs: readonly Begin[]): void {
		const mayBegin = runs.every(
			(run) => this.workers.find(run.worker) !== undefined && this.jobs.mayBegin(run)
		)
		for (const run of runs) {
			if (mayBegin) this.jobs.begin(run)
			else this.jobs.voided(run)
		}
	}

	private gone({ worker, at, crash }: GoneCommand): void {
		this.workers.leave(worker)
		this.jobs.endAllOn(worker, at, crash)
		this.changed({ kind: 'worker-gone', worker })
	}

	private changed(change: Change): void {
		this.observer?.(change)
	}
}
