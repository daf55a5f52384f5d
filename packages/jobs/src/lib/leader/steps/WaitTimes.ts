/** Tracks how long a step has waited, by reason. */
import type { WaitReason } from './waitReason'

/**
 * The time that one step has waited, by reason. A reason counts from when it is set to when the
 * next one is.
 *
 * @internal
 */
export class WaitTimes {
	private readonly durations = new Map<WaitReason, number>()
	private reason: WaitReason | undefined
	private since = 0

	/**
	 * Sets the current reason.
	 *
	 * @param reason - why the step waits from now on; undefined while none of its tasks waits.
	 * @param now - the current time, on the leader's clock.
	 */
	setReason(reason: WaitReason | undefined, now: number): void {
		if (this.reason !== undefined) {
			this.durations.set(this.reason, this.durationOf(this.reason) + now - this.since)
		}
		this.reason = reason
		this.since = now
	}

	/** @returns the milliseconds waited for each reason, the longest first. */
	getDurations(): [reason: WaitReason, duration: number][] {
		return [...this.durations].sort(([, left], [, right]) => right - left)
	}

	/**
	 * Formats the durations for the log, such as `room:1200 advice:85`; those that round to 0 ms
	 * are left out.
	 */
	toString(): string {
		return this.getDurations()
			.map(([reason, duration]) => [reason, Math.round(duration)] as const)
			.filter(([, duration]) => duration > 0)
			.map(([reason, duration]) => `${reason}:${duration}`)
			.join(' ')
	}

	private durationOf(reason: WaitReason): number {
		return this.durations.get(reason) ?? 0
	}
}
