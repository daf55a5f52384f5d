/**
 * Drives one replica: carries messages, moments and proposals into it, and its effects out to the
 * data folder, the other replicas and the state machine.
 */
import type { Output, Replica } from '@rillrudder/consensus'
import { EntryKind, type Entry, type GroupMessage } from '@rillrudder/protocol'
import type { Batch, GroupStore } from '@rillrudder/store'
import { Mailbox, SkippedTime, type Clock } from '@rillrudder/utils'
import type { StateMachine } from './StateMachine'

/** Entries after which a snapshot is made in any case; bounds the log in memory. */
const MOST_ENTRIES = 20_000
/** Bytes of log below which no snapshot is made; to replay them takes about 10 ms. */
const LEAST_LOG_BYTES = 256 * 1024
/**
 * Bytes of log, as a share of the snapshot's, after which the next one is made. To replay a byte of log takes
 * three times as long as to restore one of a snapshot, so a restart takes about twice the time of a restore.
 */
const LOG_SHARE = 0.5

/** What a group is driven with. @public */
export interface GroupOptions {
	readonly name: string
	readonly replica: Replica
	/** Absent on an instance without a disk. */
	readonly store?: GroupStore
	readonly machine: StateMachine
	readonly clock: Clock
	/** Carries a message to another instance; it may be lost. */
	readonly send: (to: string, message: GroupMessage) => void
	/** Told of a fault after which this group can't go on; the process must end. */
	readonly fail: (fault: Error) => void
	/** Told after every batch of events, when state and leadership may have changed. */
	readonly onBatchHandled?: () => void
	/** Entries applied between two snapshots; absent to go by their bytes. */
	readonly compactEvery?: number
}

interface Unsaved {
	readonly batch: Batch
	readonly late: Output['afterSync']
}

type GroupEvent = () => void

/**
 * One replica at work.
 *
 * @public
 */
export class Group {
	private readonly mailbox = new Mailbox<GroupEvent>()
	private unsaved: Unsaved[] = []
	private saving = false
	private appliedIndex: number
	private snapshotIndex: number
	/** Bytes of the commands applied since the snapshot. */
	private logBytes = 0
	private stopped = false
	private readonly skipped: SkippedTime

	/** @param parts - what to drive, and with what. */
	constructor(private readonly parts: GroupOptions) {
		const { replica } = parts
		this.skipped = new SkippedTime(parts.clock)
		this.appliedIndex = replica.snapshot?.index ?? 0
		this.snapshotIndex = this.appliedIndex
		if (replica.snapshot) parts.machine.restore(replica.snapshot.data)
		this.mailbox.serve(parts.name, (batch) => this.handle(batch), parts.fail)
	}

	/** The replica, to read from. */
	get replica(): Replica {
		return this.parts.replica
	}

	/** The name of the group. */
	get name(): string {
		return this.parts.name
	}

	/** Index of the last command that the state machine has seen. */
	get applied(): number {
		return this.appliedIndex
	}

	/** Whether this replica may act for its group at this very moment. */
	get mayAct(): boolean {
		const { replica, clock } = this.parts
		this.noteSkips()
		return replica.holdsLease(clock.now()) && this.appliedIndex === replica.status.commit
	}

	/**
	 * Takes a message from another replica.
	 *
	 * @param message - the message.
	 */
	receive(message: GroupMessage): void {
		this.post(() => this.parts.replica.receive(message, this.parts.clock.now()))
	}

	/**
	 * Adds commands to the log at once, when this replica leads.
	 *
	 * @param commands - encoded commands.
	 * @returns whether they were taken; they count only once they are applied.
	 */
	propose(commands: readonly Uint8Array[]): boolean {
		const index = this.parts.replica.propose(commands, this.parts.clock.now())
		if (index !== undefined) this.flush()
		return index !== undefined
	}

	/** Lets time pass; to be called every few tens of milliseconds. */
	tick(): void {
		this.post(() => this.parts.replica.tick(this.parts.clock.now()))
	}

	/** Hands leadership over, for a planned stop. */
	transferLeadership(): void {
		this.post(() => void this.parts.replica.transferLeadership(this.parts.clock.now()))
	}

	/** Stops driving and closes the files once what is being saved is saved. */
	async stop(): Promise<void> {
		this.stopped = true
		this.mailbox.close()
		while (this.saving) await new Promise((resolve) => this.parts.clock.after(1, () => resolve(0)))
		await this.parts.store?.close()
	}

	/** The lease may have ended while the machine was suspended, which its steady clock does not tell. */
	private noteSkips(): void {
		if (this.skipped.noticed()) this.parts.replica.revalidateLease(this.parts.clock.now())
	}

	private post(event: GroupEvent): void {
		this.mailbox.post(event)
	}

	private handle(batch: GroupEvent[]): void {
		if (this.stopped) return
		this.noteSkips()
		for (const event of batch) event()
		this.flush()
		this.compact()
		this.parts.onBatchHandled?.()
	}

	private flush(): void {
		const output = this.parts.replica.takeOutput()
		for (const { to, message } of output.immediate) this.parts.send(to, message)
		this.keep({ batch: output, late: output.afterSync })
		if (output.snapshot) {
			this.parts.machine.restore(output.snapshot.data)
			this.appliedIndex = output.snapshot.index
			this.noteSnapshot()
		}
		for (const entry of output.committed) this.apply(entry)
	}

	/** Stores what must be stored; what needs no storing is done at once, unless a save comes first. */
	private keep(step: Unsaved): void {
		const { store } = this.parts
		const idle = !this.saving && this.unsaved.length === 0
		if (!store || (idle && nothingToStore(step.batch))) {
			this.savedAll([step])
			return
		}
		this.unsaved.push(step)
		if (!this.saving) void this.save(store)
	}

	private apply(entry: Entry): void {
		if (entry.kind === EntryKind.ENTRY_KIND_COMMAND) {
			this.parts.machine.apply(entry.data, entry.index)
			this.logBytes += entry.data.length
		}
		this.appliedIndex = entry.index
	}

	private takeUnsaved(): Unsaved[] {
		const taken = this.unsaved
		this.unsaved = []
		return taken
	}

	/** One sync for everything that gathered while the last one was under way. */
	private async save(store: GroupStore): Promise<void> {
		this.saving = true
		try {
			while (this.unsaved.length > 0) {
				const taken = this.takeUnsaved()
				await store.save(merge(taken))
				this.post(() => this.savedAll(taken))
			}
		} catch (fault) {
			this.parts.fail(fault as Error)
			return
		} finally {
			this.saving = false
		}
	}

	private savedAll(saved: Unsaved[]): void {
		for (const { late, batch } of saved) {
			for (const { to, message } of late) this.parts.send(to, message)
			const last = batch.entries[batch.entries.length - 1] ?? batch.snapshot
			if (last) this.parts.replica.onPersisted(last.index, last.term)
		}
		const output = this.parts.replica.status
		if (output.commit > this.appliedIndex) this.post(() => undefined)
	}

	private noteSnapshot(): void {
		this.snapshotIndex = this.appliedIndex
		this.logBytes = 0
	}

	private get compactionDue(): boolean {
		const { compactEvery, replica } = this.parts
		const entries = this.appliedIndex - this.snapshotIndex
		if (compactEvery !== undefined) return entries >= compactEvery
		if (entries >= MOST_ENTRIES) return true
		const snapshotBytes = replica.snapshot?.data.length ?? 0
		return this.logBytes >= Math.max(LEAST_LOG_BYTES, snapshotBytes * LOG_SHARE)
	}

	private compact(): void {
		if (!this.compactionDue) return
		const { replica, machine } = this.parts
		this.noteSnapshot()
		replica.compact(this.appliedIndex, machine.snapshot())
		const { snapshot } = replica
		if (!snapshot || !this.parts.store) return
		const entries = replica.entriesAfterSnapshot()
		this.keep({ batch: { snapshot, entries }, late: [] })
	}
}

function nothingToStore(batch: Batch): boolean {
	return !batch.hardState && !batch.snapshot && batch.entries.length === 0
}

/** Puts batches together; a snapshot replaces the entries before it. */
function merge(parts: Unsaved[]): Batch {
	let hardState: Batch['hardState']
	let snapshot: Batch['snapshot']
	let entries: Entry[] = []
	for (const { batch } of parts) {
		hardState = batch.hardState ?? hardState
		if (batch.snapshot) {
			snapshot = batch.snapshot
			entries = []
		}
		entries.push(...batch.entries)
	}
	return { hardState, snapshot, entries }
}
