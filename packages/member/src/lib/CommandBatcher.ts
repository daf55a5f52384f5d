/**
 * Batches commands into log entries and calls back when they have been applied. Every entry costs
 * each instance of the core a message, a sync and an answer, whatever its size, so commands are
 * batched while an earlier entry is in flight.
 */
import type { Group } from '@rillrudder/group'
import { Measure, type Meter } from '@rillrudder/telemetry'
import type { Clock, Timer } from '@rillrudder/utils'
import { encodeCommands, Proposals, type CellCommand } from '@rillrudder/jobs'

/**
 * Maximum milliseconds for which commands wait for the entry before them: about one commit, so that
 * the second of two consecutive decisions is hardly delayed.
 */
const BATCH_DELAY_MS = 8

interface PendingEntry {
	readonly callbacks: readonly (() => void)[]
	readonly proposedAt: number
}

/**
 * Proposes the commands of one leadership in batches.
 *
 * @internal
 */
export class CommandBatcher extends Proposals {
	private commands: CellCommand[] = []
	private callbacks: (() => void)[] = []
	/** Entries that are proposed but not yet applied, in log order. */
	private readonly pendingEntries: PendingEntry[] = []
	private proposedAt = Number.NEGATIVE_INFINITY
	/** Set while commands wait for the entry before them. */
	private timer: Timer | undefined

	/**
	 * @param group - the group that this instance leads.
	 * @param clock - for commit times and batching.
	 * @param meter - records commit times.
	 */
	constructor(
		private readonly group: Pick<Group, 'propose' | 'mayAct'>,
		private readonly clock: Clock,
		private readonly meter: Meter
	) {
		super()
	}

	override propose(command: CellCommand, done?: () => void): void {
		this.commands.push(command)
		if (done) this.callbacks.push(done)
	}

	/** Proposes the batched commands, unless they may still wait for the entry before them. */
	flush(): void {
		if (this.commands.length === 0) return
		const delay = this.proposedAt + BATCH_DELAY_MS - this.clock.now()
		if (this.pendingEntries.length > 0 && delay > 0) this.proposeAfter(delay)
		else this.proposeBatch()
	}

	/** Cancels the delayed proposal. */
	end(): void {
		this.timer?.cancel()
	}

	private proposeAfter(delay: number): void {
		this.timer ??= this.clock.after(delay, () => {
			this.timer = undefined
			if (this.commands.length > 0 && this.group.mayAct) this.proposeBatch()
		})
	}

	private proposeBatch(): void {
		const { commands, callbacks } = this
		const at = this.clock.now()
		this.commands = []
		this.callbacks = []
		if (!this.group.propose([encodeCommands(commands)])) {
			// No proposal is accepted during a hand-over; the waiting commands are discarded with the controller.
			this.commands = [...commands, ...this.commands]
			this.callbacks = [...callbacks, ...this.callbacks]
			return
		}
		this.pendingEntries.push({ callbacks, proposedAt: at })
		this.proposedAt = at
	}

	/** Handles the application of this leadership's oldest pending entry. */
	onEntryApplied(): void {
		const next = this.pendingEntries.shift()
		if (!next) return
		this.meter.observe(Measure.CommitTime, this.clock.now() - next.proposedAt)
		for (const callback of next.callbacks) callback()
	}
}
