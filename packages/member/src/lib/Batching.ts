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
const GATHER = 8

interface Sent {
	readonly calls: readonly (() => void)[]
	readonly at: number
}

/**
 * The proposals of one leadership.
 *
 * @internal
 */
export class Batching extends Proposals {
	private commands: CellCommand[] = []
	private calls: (() => void)[] = []
	/** Entries that were proposed and not yet applied, in the order of the log. */
	private readonly sent: Sent[] = []
	private sentAt = Number.NEGATIVE_INFINITY
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
		if (done) this.calls.push(done)
	}

	/** Proposes what has gathered, unless it may gather for longer. */
	flush(): void {
		if (this.commands.length === 0) return
		const rest = this.sentAt + GATHER - this.clock.now()
		if (this.sent.length > 0 && rest > 0) this.sendAfter(rest)
		else this.send()
	}

	/** Proposes nothing more by itself. */
	end(): void {
		this.timer?.cancel()
	}

	private sendAfter(rest: number): void {
		this.timer ??= this.clock.after(rest, () => {
			this.timer = undefined
			if (this.commands.length > 0 && this.group.mayAct) this.send()
		})
	}

	private send(): void {
		const { commands, calls } = this
		const at = this.clock.now()
		this.commands = []
		this.calls = []
		if (!this.group.propose([encodeCommands(commands)])) {
			// While leadership is being handed over nothing is taken; what waits goes with the controller.
			this.commands = [...commands, ...this.commands]
			this.calls = [...calls, ...this.calls]
			return
		}
		this.sent.push({ calls, at })
		this.sentAt = at
	}

	/** The next entry of this leadership has been applied. */
	applied(): void {
		const next = this.sent.shift()
		if (!next) return
		this.meter.observe(Measure.CommitTime, this.clock.now() - next.at)
		for (const call of next.calls) call()
	}
}
