/** The configuration in force in this process. Its revision never decreases, even across restarts. */
import {
	NO_REVISION,
	NOTHING_IN_FORCE,
	parseConfiguration,
	type InForce,
	type KeptRevision,
} from '@rillrudder/settings'
import { invariant } from '@rillrudder/utils'

/** Stores the newest revision on disk. @public */
export abstract class RevisionStore {
	/**
	 * Stores a revision durably.
	 *
	 * @param revision - the revision.
	 * @param done - called once it is durable; not called if it can't be stored, and the process must end.
	 */
	abstract save(revision: KeptRevision, done: () => void): void
}

/**
 * Holds the configuration in force in this process.
 *
 * @public
 */
export class ConfigurationHolder {
	private installed: KeptRevision = NO_REVISION
	private parsedInForce: InForce = NOTHING_IN_FORCE
	private newest: KeptRevision = NO_REVISION
	private isSaving = false

	/**
	 * @param store - undefined on an instance without a disk.
	 * @param onChanged - called after a new revision is in force.
	 */
	constructor(
		private readonly store: RevisionStore | undefined,
		private readonly onChanged: (revision: KeptRevision) => void
	) {}

	/** The revision in force. */
	get current(): KeptRevision {
		return this.installed
	}

	/** The revision in force with its parsed configuration. */
	get inForce(): InForce {
		return this.parsedInForce
	}

	/** Restores the revision that was stored before a restart. */
	restore(kept: KeptRevision): void {
		this.newest = kept
		if (kept.revision > 0) this.show(kept)
	}

	/** Puts a revision in force unless it is outdated; with a store, only once it is durable. */
	install(offered: KeptRevision): void {
		if (offered.revision <= this.newest.revision) return
		this.newest = offered
		if (!this.store) this.show(offered)
		else if (!this.isSaving) this.save(this.store)
	}

	private save(store: RevisionStore): void {
		this.isSaving = true
		const next = this.newest
		store.save(next, () => {
			this.isSaving = false
			this.show(next)
			if (this.newest.revision > next.revision) this.save(store)
		})
	}

	private show(next: KeptRevision): void {
		invariant(next.revision > this.installed.revision, 'a revision is never lower', {
			from: this.installed.revision,
			to: next.revision,
		})
		const parsed = parseConfiguration('configuration', next.document)
		invariant(parsed.ok, 'only a good configuration is accepted', { revision: next.revision })
		this.installed = next
		const { revision, fences } = next
		this.parsedInForce = { revision, fences, configuration: parsed.value }
		this.onChanged(next)
	}
}
