/** The configuration in force in this process; its revision never goes down, also after a restart. */
import {
	NO_REVISION,
	NOTHING_IN_FORCE,
	parseConfiguration,
	type InForce,
	type KeptRevision,
} from '@rillrudder/settings'
import { RevisionFile, SystemDisk } from '@rillrudder/store'
import { invariant } from '@rillrudder/utils'

/**
 * The configuration in force here.
 *
 * @internal
 */
export class ConfigurationHolder {
	private shown: KeptRevision = NO_REVISION
	private decided: InForce = NOTHING_IN_FORCE
	private wanted: KeptRevision = this.shown
	private saving = false
	private readonly file: RevisionFile | undefined

	/**
	 * @param data - the data folder, or undefined without a disk.
	 * @param changed - told after a new revision is in force.
	 * @param fail - told when it can't be kept.
	 */
	constructor(
		data: string | undefined,
		private readonly changed: (revision: KeptRevision) => void,
		private readonly fail: (fault: Error) => void
	) {
		this.file = data === undefined ? undefined : new RevisionFile(new SystemDisk(), data)
	}

	/** The revision in force. */
	get current(): KeptRevision {
		return this.shown
	}

	/** The same, as decisions see it. */
	get inForce(): InForce {
		return this.decided
	}

	/** Takes up what was shown before a restart. */
	async load(): Promise<void> {
		const kept = await this.file?.load()
		if (!kept) return
		this.wanted = kept
		this.show(kept)
	}

	/** Puts a revision in force, unless a newer one is; on a disk it lasts before it is shown. */
	install(offered: KeptRevision): void {
		if (offered.revision <= this.wanted.revision) return
		this.wanted = offered
		if (!this.file) this.show(offered)
		else if (!this.saving) void this.save(this.file)
	}

	private async save(file: RevisionFile): Promise<void> {
		this.saving = true
		try {
			while (this.wanted.revision > this.shown.revision) {
				const next = this.wanted
				await file.save(next)
				this.show(next)
			}
		} catch (fault) {
			this.fail(fault as Error)
		} finally {
			this.saving = false
		}
	}

	private show(next: KeptRevision): void {
		invariant(next.revision > this.shown.revision, 'a revision is never lower', {
			from: this.shown.revision,
			to: next.revision,
		})
		const read = parseConfiguration('configuration', next.document)
		invariant(read.ok, 'only a good configuration is accepted', { revision: next.revision })
		this.shown = next
		const { revision, fences } = next
		this.decided = { revision, fences, configuration: read.value }
		this.changed(next)
	}
}
