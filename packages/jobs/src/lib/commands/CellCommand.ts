/** The commands in a cell's replicated log, in the order in which they take effect. */
import type { QuotaTerms } from '@rillrudder/scheduler'
import { VError } from 'verror'
import type { CellConfiguration, Queue, Worker } from '../records/Cell'
import type { JobRequest, RunEnd } from '../records/Job'
import type { RecentUsage } from '../shares/RecentUsage'
import type { CrashEvidence } from '../state/TaskCrashes'

/**
 * Newest version of the command format. All earlier versions are read: version 1 lacks crashes,
 * version 2 the start times of workers, version 3 the shares of accounts, version 4 all-or-none
 * starts of runs, version 5 the runs seen at work, version 6 presumed crashes, version 7 the jobs that
 * have begun.
 *
 * @public
 */
export const COMMAND_VERSION = 8
/** Version of commands that count unreachable workers as crashed. */
const VERSION_WITH_PRESUMED_CRASHES = 7
/** Version of commands that record runs seen at work. */
const VERSION_WITH_RUNS_AT_WORK = 6
/** Version of commands that start all of their runs or none. */
const VERSION_WITH_WHOLE_GANGS = 5
/** Version of commands that record the shares of accounts. */
const VERSION_WITH_SHARES = 4
/**
 * Version of all other commands. Each batch is written in the earliest version that can express it,
 * so that earlier releases read it.
 */
const VERSION_OF_OTHERS = 3

/** Identifies a run of a task. @public */
export interface RunRef {
	/** The task's name in text form. */
	readonly task: string
	readonly attempt: number
}

/** A run that starts. @public */
export interface RunStart extends RunRef {
	/** The worker's id. */
	readonly worker: string
}

/** A run that has ended. @public */
export interface RunOutcome extends RunRef {
	readonly how: RunEnd
	/** The newest checkpoint; empty for none. */
	readonly checkpoint: string
	/**
	 * Of a run abandoned on an unreachable worker: the evidence against its task in case the worker
	 * has crashed.
	 */
	readonly evidence?: CrashEvidence
	/**
	 * Of a run abandoned on an unreachable worker: when the worker became unreachable, milliseconds
	 * since the epoch by the leader's clock; absent in older commands.
	 */
	readonly unreachableSince?: number
}

/**
 * The evidence of a worker's crash against the tasks that ran there, by task name; none against
 * tasks not listed.
 * @public
 */
export type CrashFindings = { readonly [task: string]: CrashEvidence }

/** One change of a cell's state. @public */
export type CellCommand =
	| { readonly kind: 'configure'; readonly configuration: CellConfiguration }
	| {
			readonly kind: 'submit'
			readonly id: string
			readonly queue: Queue
			readonly job: JobRequest
			/** The account of the job; absent for none. */
			readonly account?: QuotaTerms
			/** Whether it was submitted beyond the rate of its account. */
			readonly beyondRate?: boolean
			/** Milliseconds since the epoch, by the leader's clock. */
			readonly at: number
	  }
	| { readonly kind: 'cancel'; readonly id: string; readonly at: number }
	| {
			readonly kind: 'begin'
			readonly runs: readonly RunStart[]
			/** Set for the members of a gang: all of the runs start, or none. */
			readonly whole?: true
	  }
	| { readonly kind: 'end'; readonly runs: readonly RunOutcome[]; readonly at: number }
	| {
			readonly kind: 'worker'
			readonly worker: Worker
			/** Sequence number of the heartbeat that reported it; a lower one is older. */
			readonly sequence?: number
			/**
			 * When it was proposed, milliseconds since the epoch by the leader's clock; absent in older
			 * commands.
			 */
			readonly at?: number
	  }
	| { readonly kind: 'drain'; readonly worker: string }
	/**
	 * Sets whether workers are without recent heartbeat, so that the capacity they offer may have
	 * changed.
	 */
	| { readonly kind: 'silent'; readonly workers: readonly string[]; readonly silent: boolean }
	| {
			readonly kind: 'gone'
			readonly worker: string
			readonly at: number
			/** Set when it did not announce its end. */
			readonly crash?: CrashFindings
	  }
	/** A worker answers again on which runs were abandoned while it was unreachable. */
	| { readonly kind: 'answered'; readonly worker: string }
	/** Workers have been unreachable for so long that they count as crashed until they answer. */
	| { readonly kind: 'presume-crashed'; readonly workers: readonly string[]; readonly at: number }
	/** Tasks under which workers crashed have been at work for long without harm. */
	| { readonly kind: 'cleared'; readonly tasks: readonly string[] }
	/** Runs of tasks under which workers crashed were seen at work after their start. */
	| { readonly kind: 'at-work'; readonly runs: readonly RunRef[] }
	/** Workers have started a task of each of these jobs. */
	| { readonly kind: 'begun'; readonly jobs: readonly string[] }
	| { readonly kind: 'forget'; readonly jobs: readonly string[] }
	/** Records the shares that accounts recently had; replaces the previous record. */
	| { readonly kind: 'shares'; readonly had: RecentUsage }

interface Batch {
	readonly version: number
	readonly commands: readonly CellCommand[]
}

/** @returns the commands encoded as one log entry. @public */
export function encodeCommands(commands: readonly CellCommand[]): Uint8Array {
	const version = Math.max(VERSION_OF_OTHERS, ...commands.map(versionOf))
	const batch: Batch = { version, commands }
	return Buffer.from(JSON.stringify(batch))
}

function versionOf(command: CellCommand): number {
	if (command.kind === 'begun') return COMMAND_VERSION
	if (command.kind === 'presume-crashed') return VERSION_WITH_PRESUMED_CRASHES
	if (command.kind === 'at-work') return VERSION_WITH_RUNS_AT_WORK
	if (command.kind === 'begin' && command.whole) return VERSION_WITH_WHOLE_GANGS
	return command.kind === 'shares' ? VERSION_WITH_SHARES : VERSION_OF_OTHERS
}

/**
 * @param bytes - one log entry.
 * @returns its commands.
 * @throws VError named `RecordInvalid` for a version above `COMMAND_VERSION`.
 * @public
 */
export function decodeCommands(bytes: Uint8Array): readonly CellCommand[] {
	const batch = JSON.parse(Buffer.from(bytes).toString()) as Batch
	if (batch.version >= 1 && batch.version <= COMMAND_VERSION) return batch.commands
	const info = { written: batch.version, known: COMMAND_VERSION }
	throw new VError(
		{ name: 'RecordInvalid', info },
		'command version %d is not supported',
		batch.version
	)
}
