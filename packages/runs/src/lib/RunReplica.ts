/** A replica on a simulated disk: what it stores lasts only once a save has ended. */
import {
	Replica,
	type Envelope,
	type HardState,
	type ReplicaOptions,
	type Snapshot,
} from '@rillrudder/consensus'
import type { Entry, GroupMessage } from '@rillrudder/protocol'
import { invariant, ClockSkipDetector } from '@rillrudder/utils'

/** What a simulated disk holds of one replica. @public */
export interface ReplicaDisk {
	incarnation: string
	hardState: HardState
	snapshot?: Snapshot
	entries: Entry[]
}

/** @returns a disk with nothing on it. @public */
export function emptyDisk(): ReplicaDisk {
	return { incarnation: '', hardState: { term: 0, votedFor: '' }, entries: [] }
}

/** What is around a replica. @public */
export interface RunReplicaParts {
	readonly options: ReplicaOptions
	/** Absent on an instance without a disk. */
	readonly disk?: ReplicaDisk
	/** The replica's own clock. */
	readonly now: () => number
	/** By how much its calendar is ahead of that. */
	readonly ahead: () => number
	/** How long the save that begins now takes, in milliseconds of the run. */
	readonly saveTime: () => number
	/** Makes a call after a span of the run; the caller drops it when the process has died. */
	readonly after: (span: number, call: () => void) => void
	readonly send: (to: string, message: GroupMessage) => void
	readonly apply: (entry: Entry) => void
	readonly restore: (snapshot: Snapshot) => void
}

/**
 * A replica, driven without a process around it.
 *
 * @public
 */
export class RunReplica {
	readonly replica: Replica
	/** Index of the last entry that was applied. */
	applied = 0
	private readonly skipped: ClockSkipDetector
	private waiting: Save[] = []
	private saving = false

	/** @param parts - options and surroundings. */
	constructor(private readonly parts: RunReplicaParts) {
		const { options, disk, now } = parts
		this.skipped = new ClockSkipDetector(parts)
		const kept = disk !== undefined && disk.incarnation === options.incarnation
		if (disk && !kept) Object.assign(disk, emptyDisk(), { incarnation: options.incarnation })
		const restored = kept ? { ...disk, entries: [...disk.entries] } : undefined
		this.replica = new Replica(options, now(), restored)
		if (restored?.snapshot) this.restore(restored.snapshot)
	}

	/** Whether it may act for its group at this very moment. */
	get mayAct(): boolean {
		const { replica } = this
		this.noteSkips()
		return replica.holdsLease(this.parts.now()) && this.applied === replica.status.commit
	}

	/** Takes a message. */
	receive(message: GroupMessage): void {
		this.replica.receive(message, this.parts.now())
		this.flush()
	}

	/** Lets time pass. */
	tick(): void {
		this.noteSkips()
		this.replica.tick(this.parts.now())
		this.flush()
	}

	/** Adds commands, when it leads. */
	propose(commands: readonly Uint8Array[]): void {
		this.replica.propose(commands, this.parts.now())
		this.flush()
	}

	/** Hands leadership over. @returns whether there is somebody to hand it to. */
	handOver(): boolean {
		const handed = this.replica.transferLeadership(this.parts.now())
		this.flush()
		return handed
	}

	/** Replaces the beginning of the log by a snapshot. */
	compact(data: Uint8Array): void {
		this.replica.compact(this.applied, data)
		const { snapshot } = this.replica
		const entries = this.replica.entriesAfterSnapshot()
		if (this.parts.disk) this.save({ snapshot, entries }, [])
	}

	private noteSkips(): void {
		if (this.skipped.detectSkip()) this.replica.revalidateLease(this.parts.now())
	}

	private flush(): void {
		const output = this.replica.takeOutput()
		for (const { to, message } of output.immediate) this.parts.send(to, message)
		if (output.snapshot) this.restore(output.snapshot)
		const { hardState, snapshot, entries, afterSync } = output
		const empty = !hardState && !snapshot && entries.length === 0 && afterSync.length === 0
		if (!empty) this.save({ hardState, snapshot, entries }, afterSync)
		for (const entry of output.committed) {
			this.applied = entry.index
			this.parts.apply(entry)
		}
	}

	private restore(snapshot: Snapshot): void {
		this.applied = snapshot.index
		this.parts.restore(snapshot)
	}

	/** One save at a time takes all that waits; without a disk there is nothing to wait for. */
	private save(batch: SaveBatch, late: readonly Envelope[]): void {
		const { disk } = this.parts
		if (!disk) {
			this.saved(batch, late)
			return
		}
		this.waiting.push({ batch, late })
		if (!this.saving) this.beginSave(disk)
	}

	private beginSave(disk: ReplicaDisk): void {
		const taken = this.waiting
		this.waiting = []
		this.saving = true
		this.parts.after(this.parts.saveTime(), () => {
			this.saving = false
			for (const { batch, late } of taken) {
				store(disk, batch)
				this.saved(batch, late)
			}
			if (this.waiting.length > 0) this.beginSave(disk)
			this.flush()
		})
	}

	private saved(batch: SaveBatch, late: readonly Envelope[]): void {
		for (const { to, message } of late) this.parts.send(to, message)
		const last = batch.entries[batch.entries.length - 1] ?? batch.snapshot
		if (last) this.replica.onPersisted(last.index, last.term)
	}
}

interface Save {
	readonly batch: SaveBatch
	readonly late: readonly Envelope[]
}

interface SaveBatch {
	readonly hardState?: HardState
	readonly snapshot?: Snapshot
	readonly entries: readonly Entry[]
}

function store(disk: ReplicaDisk, batch: SaveBatch): void {
	if (batch.hardState) disk.hardState = batch.hardState
	if (batch.snapshot) {
		disk.snapshot = batch.snapshot
		disk.entries = []
	}
	for (const entry of batch.entries) {
		const start = (disk.snapshot?.index ?? 0) + 1
		invariant(entry.index >= start, 'what a snapshot covers is not stored again', {
			index: entry.index,
			start,
		})
		disk.entries.length = Math.min(disk.entries.length, entry.index - start)
		disk.entries.push(entry)
	}
}
