/** The configuration in force in this process; its revision never goes down, also after a restart. */
import {
	NO_REVISION,
	NOTHING_IN_FORCE,
	parseConfiguration,
	type InForce,
	type KeptRevision,
} from '@rillrudder/settings'
import { invariant } from '@rillrudder/utils'

/** Keeps the newest revision on a disk. @public */
export abstract class RevisionKeeper {
	/**
	 * Makes a revision lasting.
	 *
	 * @param revision - the revision.
	 * @param done - told once it lasts; not told when it can't be kept, and the process must end.
	 */
	abstract save(revision: KeptRevision, done: () => void): void
}

/**
 * The configuration in force here.
 *
 * @public
 */
export class ConfigurationHolder {
	private shown: KeptRevision = NO_REVISION
	private decided: InForce = NOTHING_IN_FORCE
	private wanted: KeptRevision = NO_REVISION
	private saving = false

	/**
	 * @param keeper - absent on an instance without a disk.
	 * @param changed - told after a new revision is in force.
	 */
	constructor(
		private readonly keeper: RevisionKeeper | undefined,
		private readonly changed: (revision: KeptRevision) => void
	) {}

	/** The revision in force. */
	get current(): KeptRevision {
		return this.shown
	}

	/** The same, as decisions see it. */
	get inForce(): InForce {
		return this.decided
	}

	/** Takes up what was shown before a restart. */
	restore(kept: KeptRevision): void {
		this.wanted = kept
		if (kept.revision > 0) this.show(kept)
	}

	/** Puts a revision in force, unless a newer one is; on a disk it lasts before it is shown. */
	install(offered: KeptRevision): void {
		if (offered.revision <= this.wanted.revision) return
		this.wanted = offered
		if (!this.keeper) this.show(offered)
		else if (!this.saving) this.save(this.keeper)
	}

	private save(keeper: RevisionKeeper): void {
		this.saving = true
		const next = this.wanted
		keeper.save(next, () => {
			this.saving = false
			this.show(next)
			if (this.wanted.revision > next.revision) this.save(keeper)
		})
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
