/** What a cell's log holds: decisions, in the order in which they take effect. */
import type { QuotaTerms } from '@rillrudder/scheduler'
import { VError } from 'verror'
import type { CellConfiguration, Queue, Worker } from '../records/Cell'
import type { JobRequest, RunEnd } from '../records/Job'
import type { RecentUsage } from '../shares/RecentUsage'
import type { CrashEvidence } from '../state/TaskCrashes'

/**
 * Newest version of the commands. Version 1 says nothing of crashes, version 2 nothing of when workers started, version 3 nothing of
 * what accounts had, version 4 not which runs begin all or none, version 5 not which runs were seen at work; all are read as they are.
 * @public
 */
export const COMMAND_VERSION = 6
/** Version of commands that tell which runs begin all or none. */
const VERSION_WITH_WHOLE_GANGS = 5
/** Version of commands that tell what accounts had. */
const VERSION_WITH_SHARES = 4
/** Version of all other commands: each is written in the earliest that holds it, so that earlier programs read it. */
const VERSION_OF_OTHERS = 3

/** Which run of which task. @public */
export interface RunName {
	/** The task's name as text. */
	readonly task: string
	readonly attempt: number
}

/** A run that begins. @public */
export interface Begin extends RunName {
	/** The worker's id. */
	readonly worker: string
}

/** A run that has ended. @public */
export interface End extends RunName {
	readonly how: RunEnd
	/** The newest checkpoint; empty for none. */
	readonly checkpoint: string
	/** Of a run that is given up on a silent worker: what that would say of its task if the worker has crashed. */
	readonly evidence?: CrashEvidence
}

/** What the crash of a worker says of the tasks that ran there, by their names; nothing of those that are not in it. @public */
export type CrashFindings = { readonly [task: string]: CrashEvidence }

/** One change of a cell's state. @public */
export type CellCommand =
	| { readonly kind: 'configure'; readonly configuration: CellConfiguration }
	| {
			readonly kind: 'submit'
			readonly id: string
			readonly queue: Queue
			readonly job: JobRequest
			/** The account that it belongs to; absent for none. */
			readonly account?: QuotaTerms
			/** Whether its account sent it beyond its rate. */
			readonly beyondRate?: boolean
			/** Milliseconds since the epoch, by the leader's clock. */
			readonly at: number
	  }
	| { readonly kind: 'cancel'; readonly id: string; readonly at: number }
	| {
			readonly kind: 'begin'
			readonly runs: readonly Begin[]
			/** Set for the members of a gang: all of them begin, or none. */
			readonly whole?: true
	  }
	| { readonly kind: 'end'; readonly runs: readonly End[]; readonly at: number }
	| {
			readonly kind: 'worker'
			readonly worker: Worker
			/** Number of the heartbeat that told it; a lower one is older. */
			readonly sequence?: number
			/** When that was, milliseconds since the epoch by the leader's clock; absent in commands of before. */
			readonly at?: number
	  }
	| { readonly kind: 'drain'; readonly worker: string }
	/** Whether this leader has not heard of workers, or no more, so that what they offer may have changed. */
	| { readonly kind: 'silent'; readonly workers: readonly string[]; readonly silent: boolean }
	| {
			readonly kind: 'gone'
			readonly worker: string
			readonly at: number
			/** Set when it ended without a word. */
			readonly crash?: CrashFindings
	  }
	/** A worker answers, on which runs had been given up while it was silent. */
	| { readonly kind: 'answered'; readonly worker: string }
	/** Tasks under which workers crashed have been at work for long without harm. */
	| { readonly kind: 'cleared'; readonly tasks: readonly string[] }
	/** Runs of tasks under which workers crashed have outlived their beginning. */
	| { readonly kind: 'at-work'; readonly runs: readonly RunName[] }
	| { readonly kind: 'forget'; readonly jobs: readonly string[] }
	/** What accounts had of late; it takes the place of what was noted before. */
	| { readonly kind: 'shares'; readonly had: RecentUsage }

interface Batch {
	readonly version: number
	readonly commands: readonly CellCommand[]
}

/** @returns the bytes of one log entry. @public */
export function encodeCommands(commands: readonly CellCommand[]): Uint8Array {
	const version = Math.max(VERSION_OF_OTHERS, ...commands.map(versionOf))
	const batch: Batch = { version, commands }
	return Buffer.from(JSON.stringify(batch))
}

function versionOf(command: CellCommand): number {
	if (command.kind === 'at-work') return COMMAND_VERSION
	if (command.kind === 'begin' && command.whole) return VERSION_WITH_WHOLE_GANGS
	return command.kind === 'shares' ? VERSION_WITH_SHARES : VERSION_OF_OTHERS
}

/**
 * @param bytes - one log entry.
 * @returns its commands.
 * @throws VError named `RecordInvalid` when a later version wrote it.
 * @public
 */
export function decodeCommands(bytes: Uint8Array): readonly CellCommand[] {
	const batch = JSON.parse(Buffer.from(bytes).toString()) as Batch
	if (batch.version >= 1 && batch.version <= COMMAND_VERSION) return batch.commands
	const info = { written: batch.version, known: COMMAND_VERSION }
	throw new VError({ name: 'RecordInvalid', info }, 'commands of version %d', batch.version)
}
