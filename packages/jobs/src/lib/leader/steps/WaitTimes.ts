/** For how long a step has waited, by the reason that kept it. */
import type { WaitReason } from './waitReason'

/**
 * The time that one step has waited, by reason. A reason counts from when it is noted to when the next one is.
 *
 * @internal
 */
export class WaitTimes {
	private readonly durations = new Map<WaitReason, number>()
	private reason: WaitReason | undefined
	private since = 0

	/**
	 * @param reason - what keeps the step from now on; undefined while nothing waits.
	 * @param now - the moment, on the leader's clock.
	 */
	setReason(reason: WaitReason | undefined, now: number): void {
		if (this.reason !== undefined) {
			this.durations.set(this.reason, this.durationOf(this.reason) + now - this.since)
		}
		this.reason = reason
		this.since = now
	}

	/** @returns the milliseconds that each reason has kept it, those that lasted longest first. */
	getDurations(): [reason: WaitReason, duration: number][] {
		return [...this.durations].sort(([, left], [, right]) => right - left)
	}

	/** The same as one text for the log, as in `room:1200 advice:85`; reasons of under a millisecond are left out. */
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
