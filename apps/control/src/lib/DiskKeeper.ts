/** Keeps the newest configuration revision in the data folder. */
import { RevisionStore } from '@rillrudder/cell'
import type { KeptRevision } from '@rillrudder/settings'
import type { RevisionFile } from '@rillrudder/store'

/**
 * Keeps the newest configuration revision in the data folder.
 *
 * @internal
 */
export class DiskKeeper extends RevisionStore {
	/**
	 * @param file - where it is kept.
	 * @param fail - told when it can't be kept.
	 */
	constructor(
		private readonly file: RevisionFile,
		private readonly fail: (fault: Error) => void
	) {
		super()
	}

	override save(revision: KeptRevision, done: () => void): void {
		this.file.save(revision).then(done, this.fail)
	}
}
