/**
 * A simulated advice service that decides which workers may run a step, and the instances that
 * query it.
 */
import {
	Advisers,
	workerNameOf,
	type AdviceQuestion,
	type AdviceResult,
	type AdviceTerms,
} from '@rillrudder/jobs'
import type { Clock, Random } from '@rillrudder/utils'
import type { LeaderLoop } from './LeaderLoop'

/** Which workers the service allows, and how long its answers take. @internal */
export interface RunAdvice extends AdviceTerms {
	/** Instances that can query the service. */
	readonly instances: readonly string[]
	/** Whether a worker may run a step, by a hash of both. */
	readonly allows: (hash: number) => boolean
}

/** Fast answers that allow two of three workers. @internal */
export const PLENTIFUL_ADVICE: RunAdvice = {
	base: 40,
	each: 4,
	valid: 2000,
	instances: ['self', 'second', 'third', 'fourth'],
	allows: (hash) => hash % 3 !== 0,
}
/**
 * Answers that take a large part of a ticket's validity, and allow one of three workers.
 * @internal
 */
export const SCARCE_ADVICE: RunAdvice = {
	base: 560,
	each: 8,
	valid: 2000,
	instances: Array.from({ length: 12 }, (_, number) => `instance-${number}`),
	allows: (hash) => hash % 3 === 0,
}

/**
 * The advice service of a run.
 *
 * @internal
 */
export class RunAdvisers extends Advisers {
	/** Share of questions that get no answer. */
	lostAnswerShare = 0
	/** Total time of all answers. */
	answerMs = 0

	constructor(
		private readonly clock: Clock,
		private readonly random: Random,
		private readonly terms: RunAdvice,
		private readonly loop: LeaderLoop
	) {
		super()
	}

	override available(): readonly string[] {
		return this.terms.instances
	}

	override ask(_: string, question: AdviceQuestion, done: (result: AdviceResult) => void): void {
		const { step, workers } = question
		const { base, each, valid } = this.terms
		const answerMs = base + each * workers.length
		this.answerMs += answerMs
		this.clock.after(answerMs, () => {
			if (this.random.chance(this.lostAnswerShare)) return
			const until = this.clock.now() + valid
			const good = workers.filter((worker) => this.allows(step, worker))
			const tickets = new Map(good.map((worker) => [worker, `${step}|${worker}|${until}`]))
			this.loop.onMessage(() => done({ kind: 'answered', tickets }))
		})
	}

	/** @returns whether the service lets a worker run a step. */
	allows(step: string, worker: string): boolean {
		return this.terms.allows(hashOf(step, worker))
	}

	/** @returns whether a ticket was issued for the step and worker and has not expired. */
	isValid(ticket: string, step: string, worker: string): boolean {
		const [forStep, forWorker, until] = ticket.split('|')
		return forStep === step && forWorker === worker && this.clock.now() <= Number(until)
	}
}

/** @returns a hash that is the same for all incarnations of a worker. */
function hashOf(step: string, worker: string): number {
	let hash = 7
	for (const char of step + workerNameOf(worker)) hash = (hash * 31 + char.charCodeAt(0)) % 100_003
	return hash
}
