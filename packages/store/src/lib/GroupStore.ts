/**
 * One group's log, votes and snapshot in the data folder.
 *
 * `log` holds a header, then hard states and entries in the order they were stored; an entry replaces
 * whatever stood at its index and after. `snapshot` holds a header and one snapshot. Both are replaced
 * whole by writing a new file, syncing it and renaming it.
 */
import { join } from 'node:path'
import { VError } from 'verror'
import type { HardState, Restored, Snapshot } from '@rillrudder/consensus'
import { StoredRecord, type Entry, type StoreHeader } from '@rillrudder/protocol'
import type { AppendFile, Disk } from './Disk'
import { decodeRecords, encodeRecord, FileCondition } from './recordCodec'

/** Version of the record format; a higher one in a file is refused. @public */
export const FORMAT_VERSION = 1
const LOG_FILE = 'log'
const SNAPSHOT_FILE = 'snapshot'
const DAMAGED_SUFFIX = '.damaged'
const NEW_SUFFIX = '.new'
const NO_HARD_STATE: HardState = { term: 0, votedFor: '' }

/** What one sync makes lasting. @public */
export interface Batch {
	readonly hardState?: HardState
	readonly snapshot?: Snapshot
	readonly entries: readonly Entry[]
}

/** How a group's files were found. @public */
export interface OpenedStore {
	readonly store: GroupStore
	readonly incarnation: string
	/** Absent when there was nothing, or nothing that can be trusted. */
	readonly restored?: Restored
	readonly ending: FileCondition
}

/** Where a group's files are and who they belong to. @public */
export interface GroupFiles {
	readonly disk: Disk
	readonly folder: string
	readonly group: string
	/** The incarnation to take when there is nothing that can be trusted. */
	readonly freshIncarnation: string
}

/**
 * One group's files.
 *
 * @public
 */
export class GroupStore {
	private hardState: HardState = NO_HARD_STATE
	private failed: Error | undefined

	private constructor(
		private readonly files: GroupFiles,
		private readonly incarnation: string,
		private log: AppendFile
	) {}

	/**
	 * Opens a group's files, cutting off a torn tail. Damaged files are set aside, and the replica
	 * starts anew under another incarnation, so that its group takes it back as a learner.
	 *
	 * @param files - where they are.
	 * @returns the store and what it held.
	 * @throws VError named `FormatTooNew` when a later version wrote the files.
	 */
	static async open(files: GroupFiles): Promise<OpenedStore> {
		const { disk, folder } = files
		await disk.makeFolder(folder)
		const logBytes = await disk.read(join(folder, LOG_FILE))
		const snapshotBytes = await disk.read(join(folder, SNAPSHOT_FILE))
		if (!logBytes && !snapshotBytes) return GroupStore.create(files, FileCondition.Clean)
		const log = decodeRecords(logBytes ?? Buffer.alloc(0))
		const snapshot = snapshotBytes ? decodeRecords(snapshotBytes) : undefined
		const read = readRecords(log.records, snapshot?.records ?? [])
		const snapshotWhole =
			!snapshot || (snapshot.ending === FileCondition.Clean && read.snapshotFound)
		if (log.ending === FileCondition.Damaged || !snapshotWhole || !read.header || read.gap) {
			await setAside(files)
			return GroupStore.create(files, FileCondition.Damaged)
		}
		const file = await disk.openAt(join(folder, LOG_FILE), log.length)
		const store = new GroupStore(files, read.header.incarnation, file)
		store.hardState = read.restored.hardState
		const { restored } = read
		return { store, incarnation: read.header.incarnation, restored, ending: log.ending }
	}

	/**
	 * Makes a batch lasting with one sync.
	 *
	 * @param batch - what to store.
	 * @throws VError named `StoreFailed`. After that the store takes nothing more: what a failed sync
	 * left on the disk is not known, and a second sync may wrongly succeed.
	 */
	async save(batch: Batch): Promise<void> {
		if (this.failed) throw this.failed
		try {
			await this.write(batch)
		} catch (cause) {
			const info = { folder: this.files.folder }
			this.failed = new VError(
				{ name: 'StoreFailed', cause: cause as Error, info },
				'group %s can no longer be stored',
				this.files.group
			)
			throw this.failed
		}
	}

	/** Closes the files. */
	async close(): Promise<void> {
		await this.log.close()
	}

	private async write(batch: Batch): Promise<void> {
		if (batch.hardState) this.hardState = batch.hardState
		if (batch.snapshot) {
			await this.replaceSnapshot(batch.snapshot)
			await this.replaceLog(batch.entries)
			return
		}
		const records = batch.entries.map((entry) => encodeEntry(entry))
		// After the entries: a reader that finds its commit index has found the entries it speaks of.
		if (batch.hardState) records.push(encodeHardState(batch.hardState))
		if (records.length === 0) return
		await this.log.append(Buffer.concat(records))
		await this.log.sync()
	}

	private async replaceSnapshot(snapshot: Snapshot): Promise<void> {
		const { index, term, membership, data } = snapshot
		const value = { index, term, membership, data: data as Buffer }
		const record = encode({ body: { $case: 'snapshot', value } })
		const file = await replaceFile(this.files, SNAPSHOT_FILE, [this.header(), record])
		await file.close()
	}

	private async replaceLog(entries: readonly Entry[]): Promise<void> {
		const records = entries.map((entry) => encodeEntry(entry))
		await this.log.close()
		this.log = await replaceFile(this.files, LOG_FILE, [
			this.header(),
			encodeHardState(this.hardState),
			...records,
		])
	}

	private header(): Buffer {
		return encodeHeader(this.files.group, this.incarnation)
	}

	private static async create(files: GroupFiles, ending: FileCondition): Promise<OpenedStore> {
		const incarnation = files.freshIncarnation
		const header = encodeHeader(files.group, incarnation)
		const log = await replaceFile(files, LOG_FILE, [header])
		return { store: new GroupStore(files, incarnation, log), incarnation, ending }
	}
}

async function replaceFile(files: GroupFiles, name: string, records: Buffer[]) {
	const { disk, folder } = files
	const path = join(folder, name)
	const file = await disk.openAt(path + NEW_SUFFIX, 0)
	await file.append(Buffer.concat(records))
	await file.sync()
	await disk.rename(path + NEW_SUFFIX, path)
	await disk.syncFolder(folder)
	return file
}

async function setAside(files: GroupFiles): Promise<void> {
	const { disk, folder } = files
	for (const name of [LOG_FILE, SNAPSHOT_FILE]) {
		const path = join(folder, name)
		if (await disk.read(path)) await disk.rename(path, path + DAMAGED_SUFFIX)
	}
	await disk.syncFolder(folder)
}

function encode(record: StoredRecord): Buffer {
	return encodeRecord(StoredRecord.encode(record).finish())
}

function encodeHeader(group: string, incarnation: string): Buffer {
	const value = { version: FORMAT_VERSION, group, incarnation }
	return encode({ body: { $case: 'header', value } })
}

function encodeEntry(value: Entry): Buffer {
	return encode({ body: { $case: 'entry', value } })
}

function encodeHardState({ term, votedFor, commit = 0 }: HardState): Buffer {
	const value = { term, votedFor, commit }
	return encode({ body: { $case: 'hardState', value } })
}

interface Read {
	readonly header?: StoreHeader
	readonly restored: Restored
	readonly snapshotFound: boolean
	/** Whether entries are missing between the snapshot and the log. */
	readonly gap: boolean
}

/** Puts the records of both files together. */
function readRecords(logRecords: Buffer[], snapshotRecords: Buffer[]): Read {
	const kept = readSnapshot(snapshotRecords)
	let header: StoreHeader | undefined
	let hardState: HardState = NO_HARD_STATE
	const log: Entry[] = []
	for (const bytes of logRecords) {
		const { body } = StoredRecord.decode(bytes)
		if (body?.$case === 'header') header = checkVersion(body.value)
		if (body?.$case === 'hardState') hardState = body.value
		if (body?.$case === 'entry') place(log, body.value)
	}
	const snapshot = kept.life === header?.incarnation ? kept.snapshot : undefined
	const entries = snapshot ? after(log, snapshot) : log
	const gap = entries.length > 0 && entries[0].index !== (snapshot?.index ?? 0) + 1
	const restored = { hardState, snapshot, entries }
	return { header, restored, snapshotFound: snapshot !== undefined, gap }
}

interface KeptSnapshot {
	readonly life?: string
	readonly snapshot?: Snapshot
}

function readSnapshot(records: Buffer[]): KeptSnapshot {
	let life: string | undefined
	let snapshot: Snapshot | undefined
	for (const bytes of records) {
		const { body } = StoredRecord.decode(bytes)
		if (body?.$case === 'header') life = checkVersion(body.value).incarnation
		if (body?.$case === 'snapshot' && body.value.membership) {
			snapshot = { ...body.value, membership: body.value.membership }
		}
	}
	return { life, snapshot }
}

function checkVersion(header: StoreHeader): StoreHeader {
	if (header.version <= FORMAT_VERSION) return header
	const info = { version: header.version, known: FORMAT_VERSION }
	throw new VError({ name: 'FormatTooNew', info }, 'data folder has format %d', header.version)
}

/** An entry replaces whatever stood at its index and after. */
function place(log: Entry[], entry: Entry): void {
	const start = log.length === 0 ? entry.index : log[0].index
	if (entry.index < start) log.length = 0
	else log.length = Math.min(log.length, entry.index - start)
	log.push(entry)
}

/** The entries after a snapshot, if the log they are in agrees with it. */
function after(log: Entry[], snapshot: Snapshot): Entry[] {
	const start = log.length === 0 ? 0 : log[0].index
	const follows = start === snapshot.index + 1
	const agrees = log[snapshot.index - start]?.term === snapshot.term
	return follows || agrees ? log.filter((entry) => entry.index > snapshot.index) : []
}
