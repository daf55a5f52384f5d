/** The file operations of the store, behind an interface so that tests can inject failures. */
import { open, mkdir, readFile, rename, rm, type FileHandle } from 'node:fs/promises'

/** A file opened for appending. @public */
export abstract class AppendFile {
	/** Writes at the end of the file. Not durable before `sync`. */
	abstract append(bytes: Uint8Array): Promise<void>
	/** Makes everything appended so far durable. */
	abstract sync(): Promise<void>
	abstract close(): Promise<void>
}

/** The file operations of the store. @public */
export abstract class Disk {
	/** @returns the content, or undefined if the file does not exist. */
	abstract read(path: string): Promise<Buffer | undefined>
	/** Truncates the file to `length` and opens it for appending. */
	abstract openAt(path: string, length: number): Promise<AppendFile>
	/** Renames a file. Durable after `syncFolder`. */
	abstract rename(from: string, to: string): Promise<void>
	abstract remove(path: string): Promise<void>
	/** Creates a folder and its parents. */
	abstract makeFolder(path: string): Promise<void>
	/** Makes the directory entries of a folder durable. */
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

/** Configurations contain keys of client accounts, so only the owner of the process may read files. */
const OWNER_ONLY_FILE_MODE = 0o600
const OWNER_ONLY_FOLDER_MODE = 0o700

/** The file system of the operating system. @public */
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
		const handle = await open(path, 'a', OWNER_ONLY_FILE_MODE)
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
		await mkdir(path, { recursive: true, mode: OWNER_ONLY_FOLDER_MODE })
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
