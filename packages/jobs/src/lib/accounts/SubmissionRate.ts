/**
 * Tracks how fast each client account submits jobs; jobs beyond its rate are ordered after the work
 * of others.
 */
import type { JobRecord } from '../state/JobRecord'

/**
 * The recent submissions of each account. A new leader starts without any, which favours all
 * accounts alike, unless it restores them.
 *
 * @internal
 */
export class SubmissionRate {
	/** Times of the recent submissions within the rate, by account. */
	private readonly recentByAccount = new Map<string, number[]>()

	/**
	 * @param window - milliseconds over which jobs are counted; a short burst within it stays within
	 * the rate.
	 */
	constructor(private readonly window: number) {}

	/**
	 * Restores the submissions within the rate that an earlier leader accepted, so that a change of
	 * leader does not reset the rates.
	 */
	restore(jobs: Iterable<JobRecord>, now: number): void {
		for (const { account, beyondRate, submitted } of jobs) {
			if (!account || beyondRate || now - submitted >= this.window) continue
			const recent = this.recentByAccount.get(account.name) ?? []
			this.recentByAccount.set(account.name, [...recent, submitted])
		}
	}

	/**
	 * Counts a job.
	 *
	 * @param account - name of the account that submits it.
	 * @param rate - jobs a second that it may submit, averaged over any window.
	 * @param now - current time in milliseconds.
	 * @returns whether the job is within the rate.
	 */
	take(account: string, rate: number, now: number): boolean {
		const recent = (this.recentByAccount.get(account) ?? []).filter((at) => now - at < this.window)
		const within = recent.length < (rate * this.window) / 1000
		if (within) recent.push(now)
		this.recentByAccount.set(account, recent)
		return within
	}
}
