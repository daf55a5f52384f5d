/** The file calls that the store makes, so that tests can make them fail. */
import { open, mkdir, readFile, rename, rm, type FileHandle } from 'node:fs/promises'

/** A file that is appended to. @public */
export abstract class AppendFile {
	/** Writes at the end. Nothing is lasting before `sync`. */
	abstract append(bytes: Uint8Array): Promise<void>
	/** Makes everything appended so far lasting. */
	abstract sync(): Promise<void>
	abstract close(): Promise<void>
}

/** The file calls that the store makes. @public */
export abstract class Disk {
	/** @returns the bytes, or undefined when there is no such file. */
	abstract read(path: string): Promise<Buffer | undefined>
	/** Opens for appending, cutting the file to `length` first. */
	abstract openAt(path: string, length: number): Promise<AppendFile>
	/** Renames and makes the new name lasting. */
	abstract rename(from: string, to: string): Promise<void>
	abstract remove(path: string): Promise<void>
	/** Creates a folder and its parents. */
	abstract makeFolder(path: string): Promise<void>
	/** Makes the names in a folder lasting. */
	abstract syncFolder(path: string): Promise<void>
}

/** A file of the operating system. @internal */
class SystemFile extends AppendFile {
	constructor(private readonly handle: FileHandle) {
		super()
	}

	override async append(bytes: Uint8Array): Promise<void> {
		let written = 0
		while (written < bytes.length) {
			const { bytesWritten } = await this.handle.write(bytes, written)
			written += bytesWritten
		}
	}

	override async sync(): Promise<void> {
		await this.handle.datasync()
	}

	override async close(): Promise<void> {
		await this.handle.close()
	}
}

/** Configurations hold keys of client accounts: only the owner of the process reads what it keeps. */
const OWNERS_FILE = 0o600
const OWNERS_FOLDER = 0o700

/** The operating system's files. @public */
export class SystemDisk extends Disk {
	override async read(path: string): Promise<Buffer | undefined> {
		try {
			return await readFile(path)
		} catch (fault) {
			if ((fault as NodeJS.ErrnoException).code === 'ENOENT') return undefined
			throw fault
		}
	}

	override async openAt(path: string, length: number): Promise<AppendFile> {
		const handle = await open(path, 'a', OWNERS_FILE)
		await handle.truncate(length)
		await handle.sync()
		return new SystemFile(handle)
	}

	override async rename(from: string, to: string): Promise<void> {
		await rename(from, to)
	}

	override async remove(path: string): Promise<void> {
		await rm(path, { force: true })
	}

	override async makeFolder(path: string): Promise<void> {
		await mkdir(path, { recursive: true, mode: OWNERS_FOLDER })
	}

	override async syncFolder(path: string): Promise<void> {
		const handle = await open(path, 'r')
		try {
			await handle.sync()
		} finally {
			await handle.close()
		}
	}
}
