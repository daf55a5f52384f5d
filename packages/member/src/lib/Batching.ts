/** Gathers the commands of one turn into one log entry, and tells when they have been applied. */
import type { Group } from '@rillrudder/group'
import { Measure, type Meter } from '@rillrudder/telemetry'
import type { Clock } from '@rillrudder/utils'
import { encodeCommands, Proposals, type CellCommand } from '@rillrudder/jobs'

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

	/**
	 * @param group - the group whose leader this is.
	 * @param clock - measures commits.
	 * @param meter - takes what was measured.
	 */
	constructor(
		private readonly group: Group,
		private readonly clock: Clock,
		private readonly meter: Meter
	) {
		super()
	}

	override propose(command: CellCommand, done?: () => void): void {
		this.commands.push(command)
		if (done) this.calls.push(done)
	}

	/** Proposes what has gathered. */
	flush(): void {
		if (this.commands.length === 0) return
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
	}

	/** The next entry of this leadership has been applied. */
	applied(): void {
		const next = this.sent.shift()
		if (!next) return
		this.meter.observe(Measure.CommitTime, this.clock.now() - next.at)
		for (const call of next.calls) call()
	}
}
