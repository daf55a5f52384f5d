/** Advice about one step: which workers may run it, and their tickets. */

/** The ticket of a worker that may run the step. */
interface Ticket {
	readonly text: string
	/** Until when a start may be decided with it, on the leader's clock. */
	readonly until: number
}

/**
 * Records which workers may run one step. Whether a worker may run it does not change, but its
 * ticket expires.
 *
 * @internal
 */
export class StepAdvice {
	/** Number of questions without an answer. */
	private pendingQuestions = 0
	/** The workers that these questions name. */
	private readonly awaited = new Set<string>()
	/** Total number of questions. */
	questionCount = 0
	/** When the first answer arrived, on the leader's clock; undefined before. */
	firstAnswerAt: number | undefined
	/** When the next question may be asked after one that failed, on the leader's clock. */
	notBefore = 0
	private readonly tickets = new Map<string, Ticket>()
	private readonly unfit = new Set<string>()

	/** Whether a question is waiting for its answer. */
	get isAsking(): boolean {
		return this.pendingQuestions > 0
	}

	/** Handles the sending of a question about workers. */
	onAsked(workers: readonly string[]): void {
		this.pendingQuestions += 1
		this.questionCount += 1
		for (const worker of workers) this.awaited.add(worker)
	}

	/** Handles the answer or the failure of a question about workers. */
	onSettled(workers: readonly string[]): void {
		this.pendingQuestions -= 1
		for (const worker of workers) this.awaited.delete(worker)
	}

	/** Whether a question is waiting for its answer that names workers not known to be allowed. */
	get isDiscovering(): boolean {
		return [...this.awaited].some((worker) => !this.isAllowed(worker))
	}

	/** Whether new tickets have been requested for any workers that are known to be allowed. */
	get isRenewingAny(): boolean {
		return [...this.awaited].some((worker) => this.isAllowed(worker))
	}

	/**
	 * @returns whether a new ticket has been requested for a worker that is known to be allowed.
	 */
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

	/** @returns the workers whose tickets are valid. */
	workersWithTicket(now: number): string[] {
		const held: string[] = []
		for (const [worker, { until }] of this.tickets) if (until > now) held.push(worker)
		return held
	}

	/** @returns the ticket of a worker; undefined if it has no valid one. */
	ticketOf(worker: string, now: number): string | undefined {
		const ticket = this.tickets.get(worker)
		return ticket && ticket.until > now ? ticket.text : undefined
	}

	/**
	 * Records an answer. Workers that were asked about and have no ticket in it are not allowed.
	 */
	onAnswer(asked: readonly string[], tickets: ReadonlyMap<string, string>, until: number): void {
		for (const worker of asked) {
			const text = tickets.get(worker)
			if (text === undefined) this.unfit.add(worker)
			else this.tickets.set(worker, { text, until })
		}
	}

	/** Invalidates the ticket of a worker that has refused it. */
	onTicketRefused(worker: string): void {
		const ticket = this.tickets.get(worker)
		if (ticket) this.tickets.set(worker, { text: ticket.text, until: 0 })
	}
}
