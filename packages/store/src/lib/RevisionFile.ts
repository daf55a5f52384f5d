/** Stores the newest configuration revision of the instance, so that it never reverts to a lower one. */
import { join } from 'node:path'
import { VError } from 'verror'
import type { KeptRevision } from '@rillrudder/settings'
import type { Disk } from './Disk'
import { decodeRecords, encodeRecord, FileCondition } from './recordCodec'

const FILE = 'configuration'
const TEMPORARY_SUFFIX = '.new'

/**
 * A file that contains one configuration revision.
 *
 * @public
 */
export class RevisionFile {
	constructor(
		private readonly disk: Disk,
		private readonly folder: string
	) {}

	/**
	 * @returns the stored revision, or undefined if there is none.
	 * @throws VError named `RevisionDamaged`; the instance must not guess which revision it had applied.
	 */
	async load(): Promise<KeptRevision | undefined> {
		const bytes = await this.disk.read(join(this.folder, FILE))
		if (!bytes) return undefined
		const read = decodeRecords(bytes)
		if (read.ending !== FileCondition.Clean || read.records.length !== 1) {
			throw new VError({ name: 'RevisionDamaged' }, 'the stored configuration revision is damaged')
		}
		return JSON.parse(read.records[0].toString()) as KeptRevision
	}

	/** Stores a revision durably. */
	async save(kept: KeptRevision): Promise<void> {
		const path = join(this.folder, FILE)
		const file = await this.disk.openAt(path + TEMPORARY_SUFFIX, 0)
		await file.append(encodeRecord(Buffer.from(JSON.stringify(kept))))
		await file.sync()
		await file.close()
		await this.disk.rename(path + TEMPORARY_SUFFIX, path)
		await this.disk.syncFolder(this.folder)
	}
}
