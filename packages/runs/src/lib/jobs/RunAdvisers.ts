/** The service that knows which workers may run a step, and the instances that ask it. */
import { Advisers, workerNameOf, type AdviceQuestion, type AdviceResult } from '@rillrudder/jobs'
import type { Clock, Random } from '@rillrudder/utils'

/** Milliseconds that a ticket holds. */
const VALID = 2000
/** Milliseconds that an answer takes, and more for each worker asked about. */
const BASE = 40
const EACH = 4
/** Of so many workers one may not run a step. */
const ONE_BARRED_OF = 3

/**
 * Advice in a run.
 *
 * @internal
 */
export class RunAdvisers extends Advisers {
	/** Share of questions that get no answer. */
	lostShare = 0

	constructor(
		private readonly clock: Clock,
		private readonly random: Random
	) {
		super()
	}

	override available(): readonly string[] {
		return ['self', 'second', 'third', 'fourth']
	}

	override ask(_: string, question: AdviceQuestion, done: (result: AdviceResult) => void): void {
		const { step, workers } = question
		this.clock.after(BASE + EACH * workers.length, () => {
			if (this.random.chance(this.lostShare)) return
			const until = this.clock.now() + VALID
			const good = workers.filter((worker) => mayRun(step, worker))
			const tickets = new Map(good.map((worker) => [worker, `${step}|${worker}|${until}`]))
			done({ kind: 'answered', tickets })
		})
	}

	/** @returns whether a ticket is one of this service for the step and worker, and still holds. */
	holds(ticket: string, step: string, worker: string): boolean {
		const [forStep, forWorker, until] = ticket.split('|')
		return forStep === step && forWorker === worker && this.clock.now() <= Number(until)
	}
}

/** A worker's lives are treated alike. */
function mayRun(step: string, worker: string): boolean {
	let hash = 7
	for (const char of step + workerNameOf(worker)) hash = (hash * 31 + char.charCodeAt(0)) % 100_003
	return hash % ONE_BARRED_OF !== 0
}
