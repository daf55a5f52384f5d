/** How fast each client account sends jobs: what is beyond its rate goes after the others' work. */
import type { JobRecord } from '../state/JobRecord'

/**
 * The jobs that accounts have sent of late. A new leader begins with none, which favours each account alike, unless it is told of them.
 *
 * @internal
 */
export class SubmissionRate {
	/** When jobs within the rate came, by account. */
	private readonly recentByAccount = new Map<string, number[]>()

	/** @param window - milliseconds over which jobs are counted; a short burst within it is no offence. */
	constructor(private readonly window: number) {}

	/** Takes up the jobs within their rates that an earlier leader took, so that its loss pardons nobody. */
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
	 * @param account - name of the account that sends it.
	 * @param rate - jobs a second that it may send, on the mean of any window.
	 * @param now - milliseconds.
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
