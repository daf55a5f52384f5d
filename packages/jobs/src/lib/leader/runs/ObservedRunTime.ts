/**
 * For how long a run has certainly been at work, by its worker's own clock: an answer that comes late tells of the moment at which
 * it was made, and its worker may have crashed since.
 */

/** Milliseconds at work up to which a run counts as just begun: a task that crashes its worker does so within tens of them. */
const BEGINNING = 200

/**
 * The time at work of one run.
 *
 * @internal
 */
export class ObservedRunTime {
	/** What its worker's clock showed when it first told of the run; absent before. */
	private since: number | undefined
	private longest = 0

	/** Milliseconds for which it has been at work at least; 0 before two answers have told of it. */
	get minimum(): number {
		return this.longest
	}

	/** Whether it has outlived its beginning, in which a task that crashes its worker does so. */
	get hasOutlivedStartup(): boolean {
		return this.longest > BEGINNING
	}

	/** Its worker has confirmed it. @param clock - what the worker's clock showed; absent where it does not tell. */
	onConfirmed(clock: number | undefined): void {
		this.since ??= clock
	}

	/** Its worker lists it as running. @param clock - what the worker's clock showed. */
	onListed(clock: number): void {
		this.since ??= clock
		this.longest = Math.max(this.longest, clock - this.since)
	}
}
