/** Prevents two processes from using the same data folder. */
import { openSync, closeSync, readFileSync, rmSync, writeSync, mkdirSync } from 'node:fs'
import { join } from 'node:path'
import { failure, success, type Result } from '@rillrudder/utils'

const LOCK_FILE = 'lock'
/** Index of the start time among the fields that follow the command name in `/proc/<pid>/stat`. */
const START_TIME_INDEX = 19

/** The process that holds the folder. @public */
export interface FolderInUse {
	readonly folder: string
	readonly pid: number
}

/**
 * A lock on a data folder. The lock file contains the process id and start time, so that the lock of a
 * killed process is recognized as stale even if its id has been reused.
 *
 * @public
 */
export class FolderLock {
	private constructor(private readonly path: string) {}

	/**
	 * @param folder - the data folder; created if missing.
	 * @returns the lock, or the process that holds it.
	 */
	static acquire(folder: string): Result<FolderLock, FolderInUse> {
		mkdirSync(folder, { recursive: true })
		const path = join(folder, LOCK_FILE)
		if (tryCreate(path)) return success(new FolderLock(path))
		const holder = readHolder(path)
		if (holder && holder.started === startTimeOf(holder.pid)) {
			return failure({ folder, pid: holder.pid })
		}
		rmSync(path, { force: true })
		return tryCreate(path) ? success(new FolderLock(path)) : failure({ folder, pid: 0 })
	}

	/** Releases the lock. */
	release(): void {
		rmSync(this.path, { force: true })
	}
}

function tryCreate(path: string): boolean {
	try {
		const file = openSync(path, 'wx')
		writeSync(file, JSON.stringify({ pid: process.pid, started: startTimeOf(process.pid) }))
		closeSync(file)
		return true
	} catch (fault) {
		if ((fault as NodeJS.ErrnoException).code === 'EEXIST') return false
		throw fault
	}
}

interface Holder {
	readonly pid: number
	readonly started: string
}

function readHolder(path: string): Holder | undefined {
	try {
		return JSON.parse(readFileSync(path, 'utf8')) as Holder
	} catch {
		return undefined
	}
}

/** @returns start time of a process in clock ticks since boot (`stat` field 22); empty if gone. */
function startTimeOf(pid: number): string {
	try {
		const stat = readFileSync(`/proc/${pid}/stat`, 'utf8')
		return stat.slice(stat.lastIndexOf(')') + 2).split(' ')[START_TIME_INDEX]
	} catch {
		return ''
	}
}
