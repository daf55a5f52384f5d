/** The newest configuration revision that this instance has shown, so that it never shows a lower one. */
import { join } from 'node:path'
import { VError } from 'verror'
import type { KeptRevision } from '@rillrudder/settings'
import type { Disk } from './Disk'
import { decodeRecords, encodeRecord, FileCondition } from './recordCodec'

const FILE = 'configuration'
const NEW_SUFFIX = '.new'

/**
 * A file that holds one revision.
 *
 * @public
 */
export class RevisionFile {
	constructor(
		private readonly disk: Disk,
		private readonly folder: string
	) {}

	/**
	 * @returns the kept revision, or undefined when there is none.
	 * @throws VError named `RevisionDamaged`; the instance must not guess what it has shown.
	 */
	async load(): Promise<KeptRevision | undefined> {
		const bytes = await this.disk.read(join(this.folder, FILE))
		if (!bytes) return undefined
		const read = decodeRecords(bytes)
		if (read.ending !== FileCondition.Clean || read.records.length !== 1) {
			throw new VError({ name: 'RevisionDamaged' }, 'the kept configuration is damaged')
		}
		return JSON.parse(read.records[0].toString()) as KeptRevision
	}

	/** Makes a revision lasting. */
	async save(kept: KeptRevision): Promise<void> {
		const path = join(this.folder, FILE)
		const file = await this.disk.openAt(path + NEW_SUFFIX, 0)
		await file.append(encodeRecord(Buffer.from(JSON.stringify(kept))))
		await file.sync()
		await file.close()
		await this.disk.rename(path + NEW_SUFFIX, path)
		await this.disk.syncFolder(this.folder)
	}
}
