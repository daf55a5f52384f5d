/** How fast each client account sends jobs: what is beyond its rate goes after the others' work. */

/**
 * The jobs that accounts have sent of late. A new leader begins with none, which favours each account alike.
 *
 * @internal
 */
export class SendingRate {
	/** When jobs within the rate came, by account. */
	private readonly sent = new Map<string, number[]>()

	/** @param window - milliseconds over which jobs are counted; a short burst within it is no offence. */
	constructor(private readonly window: number) {}

	/**
	 * Counts a job.
	 *
	 * @param account - name of the account that sends it.
	 * @param rate - jobs a second that it may send, on the mean of any window.
	 * @param now - milliseconds.
	 * @returns whether the job is within the rate.
	 */
	take(account: string, rate: number, now: number): boolean {
		const recent = (this.sent.get(account) ?? []).filter((at) => now - at < this.window)
		const within = recent.length < (rate * this.window) / 1000
		if (within) recent.push(now)
		this.sent.set(account, recent)
		return within
	}
}
