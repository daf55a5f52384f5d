/**
 * Drives one replica: passes messages, ticks and proposals to it, and its effects to the data folder,
 * the other replicas and the state machine.
 */
import type { Output, Replica } from '@rillrudder/consensus'
import { EntryKind, type Entry, type GroupMessage } from '@rillrudder/protocol'
import type { Batch, GroupStore } from '@rillrudder/store'
import { Mailbox, ClockSkipDetector, type Clock } from '@rillrudder/utils'
import type { StateMachine } from './StateMachine'

/** Entries after which a snapshot is always taken; bounds the log in memory. */
const MAX_LOG_ENTRIES = 20_000
/** Bytes of log below which no snapshot is taken; replaying them takes about 10 ms. */
const MIN_LOG_BYTES = 256 * 1024
/**
 * Bytes of log, as a share of the last snapshot's, after which the next one is taken. Replaying a byte
 * of log takes three times as long as restoring a byte of snapshot, so a restart takes about twice the
 * time of a restore.
 */
const LOG_TO_SNAPSHOT_RATIO = 0.5

/** Options and dependencies of a group. @public */
export interface GroupOptions {
	readonly name: string
	readonly replica: Replica
	/** Absent on an instance without a disk. */
	readonly store?: GroupStore
	readonly machine: StateMachine
	readonly clock: Clock
	/** Sends a message to another instance; it may be lost. */
	readonly send: (to: string, message: GroupMessage) => void
	/** Called on a fault after which this group can't continue; the process must exit. */
	readonly fail: (fault: Error) => void
	/** Called after every batch of events, when state and leadership may have changed. */
	readonly onBatchHandled?: () => void
	/** Entries applied between two snapshots; by default their number and size decide. */
	readonly compactEvery?: number
}

interface PendingSave {
	readonly batch: Batch
	readonly afterSync: Output['afterSync']
}

type GroupEvent = () => void

/**
 * Drives one replica.
 *
 * @public
 */
export class Group {
	private readonly mailbox = new Mailbox<GroupEvent>()
	private pendingSaves: PendingSave[] = []
	private isSaving = false
	private appliedIndex: number
	private snapshotIndex: number
	/** Bytes of the commands applied since the last snapshot. */
	private logBytes = 0
	private isStopped = false
	private readonly skippedTime: ClockSkipDetector

	/** @param options - the replica and its dependencies. */
	constructor(private readonly options: GroupOptions) {
		const { replica } = options
		this.skippedTime = new ClockSkipDetector(options.clock)
		this.appliedIndex = replica.snapshot?.index ?? 0
		this.snapshotIndex = this.appliedIndex
		if (replica.snapshot) options.machine.restore(replica.snapshot.data)
		this.mailbox.serve(options.name, (batch) => this.handleEvents(batch), options.fail)
	}

	/** The replica, for reading only. */
	get replica(): Replica {
		return this.options.replica
	}

	/** The name of the group. */
	get name(): string {
		return this.options.name
	}

	/** Index of the last entry that has been applied. */
	get applied(): number {
		return this.appliedIndex
	}

	/**
	 * Whether this replica may act for its group now: it holds the lease and has applied all commits.
	 */
	get mayAct(): boolean {
		const { replica, clock } = this.options
		this.checkSkippedTime()
		return replica.holdsLease(clock.now()) && this.appliedIndex === replica.status.commit
	}

	/**
	 * Handles a message from another replica.
	 *
	 * @param message - the message.
	 */
	receive(message: GroupMessage): void {
		this.post(() => this.options.replica.receive(message, this.options.clock.now()))
	}

	/**
	 * Appends commands to the log at once when this replica leads.
	 *
	 * @param commands - encoded commands.
	 * @returns whether they were accepted; they take effect only once they are applied.
	 */
	propose(commands: readonly Uint8Array[]): boolean {
		const index = this.options.replica.propose(commands, this.options.clock.now())
		if (index !== undefined) this.flush()
		return index !== undefined
	}

	/** Handles the timeouts that are due; to be called every few tens of milliseconds. */
	tick(): void {
		this.post(() => this.options.replica.tick(this.options.clock.now()))
	}

	/** Transfers leadership for a planned stop. */
	transferLeadership(): void {
		this.post(() => void this.options.replica.transferLeadership(this.options.clock.now()))
	}

	/** Stops the replica and closes its files once running saves have finished. */
	async stop(): Promise<void> {
		this.isStopped = true
		this.mailbox.close()
		while (this.isSaving)
			await new Promise((resolve) => this.options.clock.after(1, () => resolve(0)))
		await this.options.store?.close()
	}

	/**
	 * The lease may have ended while the machine was suspended, which its monotonic clock does not
	 * show.
	 */
	private checkSkippedTime(): void {
		if (this.skippedTime.detectSkip())
			this.options.replica.revalidateLease(this.options.clock.now())
	}

	private post(event: GroupEvent): void {
		this.mailbox.post(event)
	}

	private handleEvents(batch: GroupEvent[]): void {
		if (this.isStopped) return
		this.checkSkippedTime()
		for (const event of batch) event()
		this.flush()
		this.compact()
		this.options.onBatchHandled?.()
	}

	private flush(): void {
		const output = this.options.replica.takeOutput()
		for (const { to, message } of output.immediate) this.options.send(to, message)
		this.enqueueSave({ batch: output, afterSync: output.afterSync })
		if (output.snapshot) {
			this.options.machine.restore(output.snapshot.data)
			this.appliedIndex = output.snapshot.index
			this.onSnapshot()
		}
		for (const entry of output.committed) this.apply(entry)
	}

	/** Queues a save; an empty batch completes at once unless an earlier save is pending. */
	private enqueueSave(step: PendingSave): void {
		const { store } = this.options
		const idle = !this.isSaving && this.pendingSaves.length === 0
		if (!store || (idle && isEmpty(step.batch))) {
			this.onSaved([step])
			return
		}
		this.pendingSaves.push(step)
		if (!this.isSaving) void this.save(store)
	}

	private apply(entry: Entry): void {
		if (entry.kind === EntryKind.ENTRY_KIND_COMMAND) {
			this.options.machine.apply(entry.data, entry.index)
			this.logBytes += entry.data.length
		}
		this.appliedIndex = entry.index
	}

	private takePendingSaves(): PendingSave[] {
		const taken = this.pendingSaves
		this.pendingSaves = []
		return taken
	}

	/** Saves with one sync all batches that were queued during the previous save. */
	private async save(store: GroupStore): Promise<void> {
		this.isSaving = true
		try {
			while (this.pendingSaves.length > 0) {
				const taken = this.takePendingSaves()
				await store.save(mergeBatches(taken))
				this.post(() => this.onSaved(taken))
			}
		} catch (fault) {
			this.options.fail(fault as Error)
			return
		} finally {
			this.isSaving = false
		}
	}

	private onSaved(saved: PendingSave[]): void {
		for (const { afterSync, batch } of saved) {
			for (const { to, message } of afterSync) this.options.send(to, message)
			const last = batch.entries[batch.entries.length - 1] ?? batch.snapshot
			if (last) this.options.replica.onPersisted(last.index, last.term)
		}
		const output = this.options.replica.status
		if (output.commit > this.appliedIndex) this.post(() => undefined)
	}

	private onSnapshot(): void {
		this.snapshotIndex = this.appliedIndex
		this.logBytes = 0
	}

	private get isCompactionDue(): boolean {
		const { compactEvery, replica } = this.options
		const entries = this.appliedIndex - this.snapshotIndex
		if (compactEvery !== undefined) return entries >= compactEvery
		if (entries >= MAX_LOG_ENTRIES) return true
		const snapshotBytes = replica.snapshot?.data.length ?? 0
		return this.logBytes >= Math.max(MIN_LOG_BYTES, snapshotBytes * LOG_TO_SNAPSHOT_RATIO)
	}

	private compact(): void {
		if (!this.isCompactionDue) return
		const { replica, machine } = this.options
		this.onSnapshot()
		replica.compact(this.appliedIndex, machine.snapshot())
		const { snapshot } = replica
		if (!snapshot || !this.options.store) return
		const entries = replica.entriesAfterSnapshot()
		this.enqueueSave({ batch: { snapshot, entries }, afterSync: [] })
	}
}

function isEmpty(batch: Batch): boolean {
	return !batch.hardState && !batch.snapshot && batch.entries.length === 0
}

/** Merges batches in order; a snapshot replaces the entries before it. */
function mergeBatches(saves: PendingSave[]): Batch {
	let hardState: Batch['hardState']
	let snapshot: Batch['snapshot']
	let entries: Entry[] = []
	for (const { batch } of saves) {
		hardState = batch.hardState ?? hardState
		if (batch.snapshot) {
			snapshot = batch.snapshot
			entries = []
		}
		entries.push(...batch.entries)
	}
	return { hardState, snapshot, entries }
}
