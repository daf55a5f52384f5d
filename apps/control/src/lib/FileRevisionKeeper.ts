/** Persists the newest configuration revision in the data folder. */
import { RevisionStore } from '@rillrudder/cell'
import type { KeptRevision } from '@rillrudder/settings'
import type { RevisionFile } from '@rillrudder/store'

/**
 * Persists the newest configuration revision in the data folder.
 *
 * @internal
 */
export class FileRevisionKeeper extends RevisionStore {
	/**
	 * @param file - the file that holds it.
	 * @param onFault - called when the revision cannot be persisted.
	 */
	constructor(
		private readonly file: RevisionFile,
		private readonly onFault: (fault: Error) => void
	) {
		super()
	}

	override save(revision: KeptRevision, done: () => void): void {
		this.file.save(revision).then(done, this.onFault)
	}
}
