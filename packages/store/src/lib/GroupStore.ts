/**
 * Stores one group's log, hard state and snapshot in the data folder.
 *
 * `log` contains a header, then hard states and entries in the order they were stored; an entry
 * replaces all earlier entries at its index and above. `snapshot` contains a header and one snapshot.
 * Either file is replaced atomically: a new file is written, synced and renamed over the old one.
 */
import { join } from 'node:path'
import { VError } from 'verror'
import type { HardState, RestoredState, Snapshot } from '@rillrudder/consensus'
import { StoredRecord, type Entry, type StoreHeader } from '@rillrudder/protocol'
import type { AppendFile, Disk } from './Disk'
import { decodeRecords, encodeRecord, FileCondition } from './recordCodec'

/** Version of the record format; files with a higher version are rejected. @public */
export const FORMAT_VERSION = 1
const LOG_FILE = 'log'
const SNAPSHOT_FILE = 'snapshot'
const DAMAGED_SUFFIX = '.damaged'
const TEMPORARY_SUFFIX = '.new'
const NO_HARD_STATE: HardState = { term: 0, votedFor: '' }

/** The data that one sync makes durable. @public */
export interface Batch {
	readonly hardState?: HardState
	readonly snapshot?: Snapshot
	readonly entries: readonly Entry[]
}

/** An opened store and the state restored from its files. @public */
export interface OpenedStore {
	readonly store: GroupStore
	readonly incarnation: string
	/** Absent if there were no files, or none that can be trusted. */
	readonly restored?: RestoredState
	readonly ending: FileCondition
}

/** The location and owner of a group's files. @public */
export interface GroupFiles {
	readonly disk: Disk
	readonly folder: string
	readonly group: string
	/** The incarnation to use if there are no files that can be trusted. */
	readonly freshIncarnation: string
}

/**
 * The files of one group.
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
	 * Opens a group's files and truncates a torn tail. Damaged files are renamed, and the replica starts
	 * empty under a new incarnation, so that its group readmits it as a learner.
	 *
	 * @param files - location and owner of the files.
	 * @returns the store and its restored state.
	 * @throws VError named `FormatTooNew` if a later version wrote the files.
	 */
	static async open(files: GroupFiles): Promise<OpenedStore> {
		const { disk, folder } = files
		await disk.makeFolder(folder)
		const logBytes = await disk.read(join(folder, LOG_FILE))
		const snapshotBytes = await disk.read(join(folder, SNAPSHOT_FILE))
		if (!logBytes && !snapshotBytes) return GroupStore.create(files, FileCondition.Clean)
		const log = decodeRecords(logBytes ?? Buffer.alloc(0))
		const snapshot = snapshotBytes ? decodeRecords(snapshotBytes) : undefined
		const parsed = parseFiles(log.records, snapshot?.records ?? [])
		const isSnapshotIntact =
			!snapshot || (snapshot.ending === FileCondition.Clean && parsed.hasSnapshot)
		if (
			log.ending === FileCondition.Damaged ||
			!isSnapshotIntact ||
			!parsed.header ||
			parsed.hasGap
		) {
			await quarantineFiles(files)
			return GroupStore.create(files, FileCondition.Damaged)
		}
		const file = await disk.openAt(join(folder, LOG_FILE), log.length)
		const store = new GroupStore(files, parsed.header.incarnation, file)
		store.hardState = parsed.restored.hardState
		const { restored } = parsed
		return { store, incarnation: parsed.header.incarnation, restored, ending: log.ending }
	}

	/**
	 * Makes a batch durable with one sync.
	 *
	 * @param batch - what to store.
	 * @throws VError named `StoreFailed`. The store accepts no batch after that: it is unknown what a
	 * failed sync left on the disk, and a second sync may wrongly succeed.
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
		// Written after the entries, so that a torn log never has a commit index above its last entry.
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
	const file = await disk.openAt(path + TEMPORARY_SUFFIX, 0)
	await file.append(Buffer.concat(records))
	await file.sync()
	await disk.rename(path + TEMPORARY_SUFFIX, path)
	await disk.syncFolder(folder)
	return file
}

async function quarantineFiles(files: GroupFiles): Promise<void> {
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

interface ParsedFiles {
	readonly header?: StoreHeader
	readonly restored: RestoredState
	readonly hasSnapshot: boolean
	/** Whether entries are missing between the snapshot and the log. */
	readonly hasGap: boolean
}

/** Combines the records of both files. */
function parseFiles(logRecords: Buffer[], snapshotRecords: Buffer[]): ParsedFiles {
	const snapshotFile = parseSnapshotFile(snapshotRecords)
	let header: StoreHeader | undefined
	let hardState: HardState = NO_HARD_STATE
	const log: Entry[] = []
	for (const bytes of logRecords) {
		const { body } = StoredRecord.decode(bytes)
		if (body?.$case === 'header') header = checkVersion(body.value)
		if (body?.$case === 'hardState') hardState = body.value
		if (body?.$case === 'entry') replaceFrom(log, body.value)
	}
	const snapshot =
		snapshotFile.incarnation === header?.incarnation ? snapshotFile.snapshot : undefined
	const entries = snapshot ? entriesAfter(log, snapshot) : log
	const hasGap = entries.length > 0 && entries[0].index !== (snapshot?.index ?? 0) + 1
	const restored = { hardState, snapshot, entries }
	return { header, restored, hasSnapshot: snapshot !== undefined, hasGap }
}

interface StoredSnapshotFile {
	readonly incarnation?: string
	readonly snapshot?: Snapshot
}

function parseSnapshotFile(records: Buffer[]): StoredSnapshotFile {
	let incarnation: string | undefined
	let snapshot: Snapshot | undefined
	for (const bytes of records) {
		const { body } = StoredRecord.decode(bytes)
		if (body?.$case === 'header') incarnation = checkVersion(body.value).incarnation
		if (body?.$case === 'snapshot' && body.value.membership) {
			snapshot = { ...body.value, membership: body.value.membership }
		}
	}
	return { incarnation, snapshot }
}

function checkVersion(header: StoreHeader): StoreHeader {
	if (header.version <= FORMAT_VERSION) return header
	const info = { version: header.version, known: FORMAT_VERSION }
	throw new VError({ name: 'FormatTooNew', info }, 'data folder has format %d', header.version)
}

/** Appends an entry, dropping all entries at its index and above. */
function replaceFrom(log: Entry[], entry: Entry): void {
	const start = log.length === 0 ? entry.index : log[0].index
	if (entry.index < start) log.length = 0
	else log.length = Math.min(log.length, entry.index - start)
	log.push(entry)
}

/** @returns the entries after a snapshot, or none if the log does not match the snapshot. */
function entriesAfter(log: Entry[], snapshot: Snapshot): Entry[] {
	const start = log.length === 0 ? 0 : log[0].index
	const isAdjacent = start === snapshot.index + 1
	const hasMatchingTerm = log[snapshot.index - start]?.term === snapshot.term
	return isAdjacent || hasMatchingTerm ? log.filter((entry) => entry.index > snapshot.index) : []
}
