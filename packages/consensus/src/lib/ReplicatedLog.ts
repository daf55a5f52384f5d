/** The log entries that a replica holds in memory, above the last compacted index. */
import { invariant } from '@rillrudder/utils'
import type { Entry } from '@rillrudder/protocol'

/**
 * A log whose prefix may have been compacted.
 *
 * @public
 */
export class ReplicatedLog {
	private entries: Entry[] = []

	/**
	 * @param baseIndex - the last compacted index.
	 * @param baseTerm - the term of that index.
	 */
	constructor(
		private baseIndex = 0,
		private baseTerm = 0
	) {}

	/** The first index that is not compacted; it may not exist yet. */
	get firstIndex(): number {
		return this.baseIndex + 1
	}

	/** The last index, held or compacted. */
	get lastIndex(): number {
		return this.baseIndex + this.entries.length
	}

	/** The term of the last index. */
	get lastTerm(): number {
		return this.entries.length === 0 ? this.baseTerm : this.entries[this.entries.length - 1].term
	}

	/**
	 * @param index - any index.
	 * @returns its term, or undefined when it is compacted or not in the log.
	 */
	termAt(index: number): number | undefined {
		if (index === this.baseIndex) return this.baseTerm
		return this.entries[index - this.baseIndex - 1]?.term
	}

	/**
	 * @param index - a held index.
	 * @returns the entry.
	 */
	at(index: number): Entry {
		const entry = this.entries[index - this.baseIndex - 1]
		invariant(entry !== undefined, 'only entries in the log are read', {
			index,
			base: this.baseIndex,
		})
		return entry
	}

	/**
	 * @param from - first index wanted, held.
	 * @param maxEntries - the maximum number of entries.
	 * @param maxBytes - stops after the entry that reaches this many bytes.
	 * @returns the entries from there.
	 */
	slice(from: number, maxEntries: number, maxBytes: number): Entry[] {
		const start = from - this.baseIndex - 1
		const end = Math.min(this.entries.length, start + maxEntries)
		let bytes = 0
		let next = start
		while (next < end && bytes < maxBytes) bytes += this.entries[next++].data.length
		return this.entries.slice(start, next)
	}

	/** @param entry - the entry that follows the last. */
	append(entry: Entry): void {
		invariant(entry.index === this.lastIndex + 1, 'a log has no gaps', {
			index: entry.index,
			last: this.lastIndex,
		})
		this.entries.push(entry)
	}

	/** @param index - every entry after this one is dropped. */
	truncateAfter(index: number): void {
		this.entries.length = Math.max(0, index - this.baseIndex)
	}

	/** @param index - every entry up to this one is dropped; its term is remembered. */
	compactTo(index: number): void {
		const term = this.termAt(index)
		if (term === undefined || index <= this.baseIndex) return
		this.entries = this.entries.slice(index - this.baseIndex)
		this.baseIndex = index
		this.baseTerm = term
	}

	/**
	 * Replaces all entries by a snapshot.
	 *
	 * @param index - the last index that the snapshot covers.
	 * @param term - its term.
	 */
	reset(index: number, term: number): void {
		this.entries = []
		this.baseIndex = index
		this.baseTerm = term
	}
}
