/**
 * Spreads questions over the instances that can ask them. The service answers one call at a time from
 * each instance, and some queues' answers take twenty times as long as others': those may not take every
 * instance at once.
 */
import type { DeskContext } from './DeskContext'
import type { AdviceQuestion, AdviceResult } from './ports'

/** Milliseconds from which an answer counts as a long one. */
const LONG = 150
/** Share of the instances that is kept free of long answers. */
const KEPT_FREE = 0.3
/** Times the expected span, plus `PATIENCE`, after which an answer is given up. */
const PATIENCE_FACTOR = 1.5
/** Milliseconds; the service may be busy with a call of an earlier leader. */
const PATIENCE = 600
/** Milliseconds for which an instance that brought no answer is asked last. */
const REST = 3000

/** A question with what it costs and how much it matters. @internal */
export interface PlannedQuestion extends AdviceQuestion {
	/** Milliseconds that the answer is expected to take. */
	readonly cost: number
	/** Lower goes first. */
	readonly rank: number
	readonly done: (result: AdviceResult) => void
}

interface Asked {
	readonly question: PlannedQuestion
	readonly giveUpAt: number
}

/**
 * Questions that wait or are being answered.
 *
 * @internal
 */
export class AdvicePlanner {
	private waiting: PlannedQuestion[] = []
	private readonly asked = new Map<string, Asked>()
	/** Until when instances that brought no answer are asked last. */
	private readonly resting = new Map<string, number>()

	constructor(private readonly context: DeskContext) {}

	/** Asks as soon as an instance is free. */
	ask(question: PlannedQuestion): void {
		this.waiting.push(question)
		this.dispatch()
	}

	/** Gives up answers that will not come, and asks what waits. */
	tick(now: number): void {
		for (const [via, { question, giveUpAt }] of this.asked) {
			if (now < giveUpAt) continue
			this.asked.delete(via)
			this.resting.set(via, now + REST)
			question.done({ kind: 'unknown', message: `no answer through ${via}` })
		}
		this.dispatch()
	}

	private dispatch(): void {
		if (this.waiting.length === 0) return
		const available = this.context.advisers.available()
		const free = available
			.filter((via) => !this.asked.has(via))
			.sort((left, right) => this.restsUntil(right) - this.restsUntil(left))
		if (free.length === 0) return
		this.waiting.sort((left, right) => left.rank - right.rank)
		const longMost = Math.max(1, Math.floor(available.length * (1 - KEPT_FREE)))
		let long = [...this.asked.values()].filter(({ question }) => question.cost >= LONG).length
		const later: PlannedQuestion[] = []
		for (const question of this.waiting) {
			const isLong = question.cost >= LONG
			if (free.length === 0 || (isLong && long >= longMost)) {
				later.push(question)
				continue
			}
			if (isLong) long += 1
			this.send(free.pop() as string, question)
		}
		this.waiting = later
	}

	private send(via: string, question: PlannedQuestion): void {
		const now = this.context.clock.now()
		const giveUpAt = now + question.cost * PATIENCE_FACTOR + PATIENCE
		const asked = { question, giveUpAt }
		this.asked.set(via, asked)
		const { step, workers } = question
		this.context.advisers.ask(via, { step, workers }, (result) => {
			if (this.asked.get(via) !== asked) return
			this.asked.delete(via)
			if (result.kind !== 'answered') this.resting.set(via, now + REST)
			question.done(result)
			this.dispatch()
		})
	}

	private restsUntil(via: string): number {
		const until = this.resting.get(via) ?? 0
		return until > this.context.clock.now() ? until : 0
	}
}
