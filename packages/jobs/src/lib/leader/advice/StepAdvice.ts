/** What is known of which workers may run one step. */

/** A worker that may run the step. */
interface Ticket {
	readonly text: string
	/** Until when a start may be decided with it, on the leader's clock. */
	readonly until: number
}

/**
 * Which workers may run one step. Whether a worker may does not change; its ticket runs out.
 *
 * @internal
 */
export class StepAdvice {
	/** Questions that are under way. */
	private pendingQuestions = 0
	/** The workers that they name. */
	private readonly awaited = new Set<string>()
	/** How many questions have been asked. */
	questionCount = 0
	/** When the first answer came, on the leader's clock. */
	firstAnswerAt: number | undefined
	/** When the next question may be asked, after one that failed. */
	notBefore = 0
	private readonly tickets = new Map<string, Ticket>()
	private readonly unfit = new Set<string>()

	/** Whether a question is under way. */
	get isAsking(): boolean {
		return this.pendingQuestions > 0
	}

	/** A question about these workers is on its way. */
	onAsked(workers: readonly string[]): void {
		this.pendingQuestions += 1
		this.questionCount += 1
		for (const worker of workers) this.awaited.add(worker)
	}

	/** A question about these workers is answered, or will not be. */
	onSettled(workers: readonly string[]): void {
		this.pendingQuestions -= 1
		for (const worker of workers) this.awaited.delete(worker)
	}

	/** Whether it is being asked of workers whether they are allowed. */
	get isDiscovering(): boolean {
		return [...this.awaited].some((worker) => !this.isAllowed(worker))
	}

	/** Whether new tickets of allowed workers are under way. */
	get isRenewingAny(): boolean {
		return [...this.awaited].some((worker) => this.isAllowed(worker))
	}

	/** @returns whether a new ticket is under way for a worker that is known to be allowed. */
	isRenewing(worker: string): boolean {
		return this.awaited.has(worker) && this.tickets.has(worker)
	}

	/** @returns whether the worker is known not to be allowed. */
	isUnfit(worker: string): boolean {
		return this.unfit.has(worker)
	}

	/** @returns whether the worker is known to be allowed, with a ticket or not. */
	isAllowed(worker: string): boolean {
		return this.tickets.has(worker)
	}

	/** The workers that are known to be allowed, with a ticket or not. */
	get allowed(): Iterable<string> {
		return this.tickets.keys()
	}

	/** @returns the workers whose tickets hold. */
	workersWithTicket(now: number): string[] {
		const held: string[] = []
		for (const [worker, { until }] of this.tickets) if (until > now) held.push(worker)
		return held
	}

	/** @returns the worker's ticket while it holds. */
	ticketOf(worker: string, now: number): string | undefined {
		const ticket = this.tickets.get(worker)
		return ticket && ticket.until > now ? ticket.text : undefined
	}

	/** Takes an answer. */
	onAnswer(asked: readonly string[], tickets: ReadonlyMap<string, string>, until: number): void {
		for (const worker of asked) {
			const text = tickets.get(worker)
			if (text === undefined) this.unfit.add(worker)
			else this.tickets.set(worker, { text, until })
		}
	}

	/** A worker's ticket does not hold. */
	onTicketRefused(worker: string): void {
		const ticket = this.tickets.get(worker)
		if (ticket) this.tickets.set(worker, { text: ticket.text, until: 0 })
	}
}
