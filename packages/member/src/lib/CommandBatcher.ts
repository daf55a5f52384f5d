/**
 * Gathers commands into log entries, and tells when they have been applied. Every entry costs each instance of the core a message,
 * a sync and an answer, whatever it holds, so commands gather while an earlier entry is under way.
 */
import type { Group } from '@rillrudder/group'
import { Measure, type Meter } from '@rillrudder/telemetry'
import type { Clock, Timer } from '@rillrudder/utils'
import { encodeCommands, Proposals, type CellCommand } from '@rillrudder/jobs'

/**
 * Milliseconds for which commands wait at most for the entry before them: about one commit, so that of two decisions that
 * follow each other the second is hardly later than by itself.
 */
const BATCH_DELAY_MS = 8

interface PendingEntry {
	readonly callbacks: readonly (() => void)[]
	readonly proposedAt: number
}

/**
 * The proposals of one leadership.
 *
 * @internal
 */
export class CommandBatcher extends Proposals {
	private commands: CellCommand[] = []
	private callbacks: (() => void)[] = []
	/** Entries that were proposed and not yet applied, in the order of the log. */
	private readonly pendingEntries: PendingEntry[] = []
	private proposedAt = Number.NEGATIVE_INFINITY
	/** Set while commands wait for the entry before them. */
	private timer: Timer | undefined

	/**
	 * @param group - the group whose leader this is.
	 * @param clock - measures commits, and how long commands gather.
	 * @param meter - takes what was measured.
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

	/** Proposes what has gathered, unless it may gather for longer. */
	flush(): void {
		if (this.commands.length === 0) return
		const delay = this.proposedAt + BATCH_DELAY_MS - this.clock.now()
		if (this.pendingEntries.length > 0 && delay > 0) this.proposeAfter(delay)
		else this.proposeBatch()
	}

	/** Proposes nothing more by itself. */
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
			// While leadership is being handed over nothing is taken; what waits goes with the controller.
			this.commands = [...commands, ...this.commands]
			this.callbacks = [...callbacks, ...this.callbacks]
			return
		}
		this.pendingEntries.push({ callbacks, proposedAt: at })
		this.proposedAt = at
	}

	/** The next entry of this leadership has been applied. */
	onEntryApplied(): void {
		const next = this.pendingEntries.shift()
		if (!next) return
		this.meter.observe(Measure.CommitTime, this.clock.now() - next.proposedAt)
		for (const callback of next.callbacks) callback()
	}
}
