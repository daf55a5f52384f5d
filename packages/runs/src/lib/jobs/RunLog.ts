/**
 * The replicated log of a simulated run: commits take time, and uncommitted entries may be lost.
 */
import { encodeCommands, Proposals, type CellCommand, type CellState } from '@rillrudder/jobs'
import type { Clock, Random } from '@rillrudder/utils'
import type { LeaderLoop } from './LeaderLoop'

/** Minimum and maximum duration of a commit. */
const COMMIT_MS = [4, 40] as const

interface Entry {
	readonly bytes: Uint8Array
	readonly callbacks: readonly (() => void)[]
	committed: boolean
}

/**
 * The proposals of one term, in order.
 *
 * @internal
 */
export class RunLog extends Proposals {
	private commands: CellCommand[] = []
	private callbacks: (() => void)[] = []
	private readonly entries: Entry[] = []
	private hasEnded = false

	constructor(
		private readonly clock: Clock,
		private readonly random: Random,
		private readonly state: CellState,
		private readonly loop: LeaderLoop
	) {
		super()
	}

	override propose(command: CellCommand, done?: () => void): void {
		this.commands.push(command)
		if (done) this.callbacks.push(done)
	}

	/** Proposes all pending commands as one entry. */
	flush(): void {
		if (this.hasEnded || this.commands.length === 0) return
		const entry = {
			bytes: encodeCommands(this.commands),
			callbacks: this.callbacks,
			committed: false,
		}
		this.commands = []
		this.callbacks = []
		this.entries.push(entry)
		this.clock.after(this.random.integer(...COMMIT_MS), () => {
			entry.committed = true
			this.loop.onMessage(() => this.applyCommitted())
		})
	}

	/**
	 * Ends the term. Some of its uncommitted entries may be in the next leader's log: a random
	 * number of them is applied.
	 */
	end(): void {
		this.hasEnded = true
		const kept = this.random.integer(0, this.entries.length)
		for (const { bytes } of this.entries.slice(0, kept)) this.state.apply(bytes)
	}

	private applyCommitted(): void {
		while (!this.hasEnded && this.entries[0]?.committed) {
			const [{ bytes, callbacks }] = this.entries.splice(0, 1)
			this.state.apply(bytes)
			for (const callback of callbacks) callback()
		}
	}
}
