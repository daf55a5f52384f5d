/** Asks for advice about steps: when, about which workers, and what the answers bring. */
import { Measure } from '@rillrudder/telemetry'
import type { AdviceTerms } from '../../records/Cell'
import { rankOf } from '../../placement/StepUrgency'
import { AdvicePlanner } from './AdvicePlanner'
import { AllowedShare } from './AllowedShare'
import type { WorkerOption } from '../steps/chooseWorkerForStep'
import type { LeaderShares } from '../../shares/LeaderShares'
import type { LeaderContext } from '../LeaderContext'
import { LeaderEvent } from '../LeaderEvent'
import type { AdviceResult } from '../ports'
import type { StepWork } from '../steps/StepWork'
import { MOST_ASKED } from '../../gangs/needsPlan'
import { splitQuestion } from '../../gangs/splitQuestion'
import { workersToAsk } from './workersToAsk'

/** Milliseconds that a step's ticket must still hold for its next task to be decided with it. */
const ASK_AGAIN = 400
/** Milliseconds from which an answer is asked for before there is room. */
const LONG_ANSWER = 150

/**
 * The questions about steps.
 *
 * @internal
 */
export class StepQuestions {
	private readonly planner: AdvicePlanner
	private readonly shares = new AllowedShare()

	constructor(
		private readonly context: LeaderContext,
		accounts: LeaderShares
	) {
		this.planner = new AdvicePlanner(context, accounts)
	}

	/** Gives up answers that will not come. */
	tick(now: number): void {
		this.planner.tick(now)
	}

	/**
	 * Asks which of the eligible workers may run a step, unless a question about it is under way or would not help.
	 *
	 * @param tasks - how many of its tasks want a place.
	 * @param roomAt - when room that is kept for the next of them is expected, on the leader's clock; absent when none is.
	 */
	ask(work: StepWork, eligible: readonly WorkerOption[], tasks: number, roomAt?: number): void {
		const { advice, queue } = work
		const now = this.context.clock.now()
		if (!queue.advice || advice.asking || now < advice.notBefore) return
		const answer = queue.advice.base + queue.advice.each * eligible.length
		// A gang begins only with all its tickets valid, and a long answer comes late for free room.
		// An urgent step wants to know where room may be made for it.
		const ahead = answer >= LONG_ANSWER || work.urgent
		const until = now + ASK_AGAIN + (ahead || work.step.gang ? answer : 0)
		const share = this.shares.of(queue.name)
		const renew = roomAt === undefined || roomAt <= now + answer + ASK_AGAIN
		const need = { tasks, until, most: MOST_ASKED, ahead, renew, share, terms: queue.advice }
		const workers = workersToAsk(work, eligible, need)
		if (workers.length > 0) this.send(work, workers, queue.advice)
	}

	/** @returns which share of workers a queue's policy allows, from 0 to 1, as seen of late. */
	shareOf(queue: string): number {
		return this.shares.of(queue)
	}

	/** Asks about these workers, in several questions side by side where one would take long. */
	askAbout(work: StepWork, workers: readonly string[]): void {
		const terms = work.queue.advice
		if (!terms) return
		for (const part of splitQuestion(workers, terms)) this.send(work, part, terms)
	}

	private send(work: StepWork, workers: readonly string[], terms: AdviceTerms): void {
		const now = this.context.clock.now()
		work.advice.asked(workers)
		const cost = terms.base + terms.each * workers.length
		const rank = rankOf(work.urgency)
		const done = (result: AdviceResult): void => this.advised(work, workers, now, result)
		this.context.log.debug(LeaderEvent.AdviceAsked, { step: work.name, workers: workers.length })
		const claim = { account: work.account, urgency: work.urgency }
		const { priority } = work.queue
		this.planner.ask({ step: work.name, workers, cost, rank, priority, claim, done })
	}

	private advised(
		work: StepWork,
		asked: readonly string[],
		askedAt: number,
		result: AdviceResult
	): void {
		const { clock, timing, log, meter } = this.context
		const now = clock.now()
		meter.count(Measure.Advice, { outcome: result.kind })
		meter.observe(Measure.AdviceTime, now - askedAt)
		work.advice.settled(asked)
		work.shouldTryAllWorkers = true
		if (result.kind !== 'answered') {
			if (result.kind === 'busy') work.advice.notBefore = now + timing.retryPause
			const reason = result.kind === 'unknown' ? result.message : undefined
			log.info(LeaderEvent.AdviceCame, { step: work.name, outcome: result.kind, reason })
			return
		}
		const valid = work.queue.advice?.valid ?? 0
		work.advice.firstAnswerAt ??= now
		const news = asked.filter((worker) => !work.advice.isAllowed(worker))
		const allowed = news.filter((worker) => result.tickets.has(worker)).length
		this.shares.note(work.queue.name, news.length, allowed)
		work.advice.answered(asked, result.tickets, now + valid - timing.ticketMargin)
		const took = Math.round(now - askedAt)
		const good = result.tickets.size
		log.debug(LeaderEvent.AdviceCame, { step: work.name, asked: asked.length, good, took })
	}
}
