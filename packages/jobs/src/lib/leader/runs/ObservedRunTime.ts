/**
 * Tracks how long a run has certainly been running, by its worker's own clock: a late answer
 * describes the moment at which it was made, and its worker may have crashed since.
 */

/**
 * Milliseconds up to which a run counts as just started: a task that crashes its worker does so
 * within tens of milliseconds.
 */
const STARTUP_MS = 200

/**
 * The observed running time of one run.
 *
 * @internal
 */
export class ObservedRunTime {
	/** Reading of the worker's clock in its first answer about the run; undefined before. */
	private since: number | undefined
	private longest = 0

	/**
	 * Milliseconds that the run has been running at least; 0 before two answers have reported it.
	 */
	get minimum(): number {
		return this.longest
	}

	/** Whether the run has outlived the time in which a task that crashes its worker does so. */
	get hasOutlivedStartup(): boolean {
		return this.longest > STARTUP_MS
	}

	/** Handles a confirmation. @param clock - the worker's clock; undefined if not reported. */
	onConfirmed(clock: number | undefined): void {
		this.since ??= clock
	}

	/** Handles a poll that lists the run as running. @param clock - the worker's clock. */
	onListed(clock: number): void {
		this.since ??= clock
		this.longest = Math.max(this.longest, clock - this.since)
	}
}
