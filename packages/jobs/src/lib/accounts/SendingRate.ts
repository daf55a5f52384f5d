/** How fast each client account sends jobs: what is beyond its rate goes after the others' work. */

/** Milliseconds over which jobs are counted; the rate is in jobs a second. */
const SPAN = 1000

/**
 * The jobs that accounts have sent of late. A new leader begins with none, which favours each account alike.
 *
 * @internal
 */
export class SendingRate {
	/** When jobs within the rate came, by account. */
	private readonly sent = new Map<string, number[]>()

	/**
	 * Counts a job.
	 *
	 * @param account - name of the account that sends it.
	 * @param rate - jobs that it may send in any second.
	 * @param now - milliseconds.
	 * @returns whether the job is within the rate.
	 */
	take(account: string, rate: number, now: number): boolean {
		const recent = (this.sent.get(account) ?? []).filter((at) => now - at < SPAN)
		const within = recent.length < rate
		if (within) recent.push(now)
		this.sent.set(account, recent)
		return within
	}
}
