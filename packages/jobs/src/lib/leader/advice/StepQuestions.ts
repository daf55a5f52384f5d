/** Requests advice about steps: decides when and about which workers, and records the answers. */
import { Measure } from '@rillrudder/telemetry'
import type { AdviceTerms } from '../../records/Cell'
import { rankOf } from '../../placement/StepUrgency'
import { AdviceDispatcher } from './AdviceDispatcher'
import { AllowedShare } from './AllowedShare'
import type { WorkerOption } from '../steps/chooseWorkerForStep'
import type { LeaderShares } from '../../shares/LeaderShares'
import type { LeaderContext } from '../LeaderContext'
import { LeaderEvent } from '../LeaderEvent'
import type { AdviceResult } from '../ports'
import type { StepWork } from '../steps/StepWork'
import { MAX_WORKERS_PER_QUESTION } from '../../gangs/shouldPlanGang'
import { splitQuestion } from '../../gangs/splitQuestion'
import { chooseWorkersToAsk } from './chooseWorkersToAsk'

/** Milliseconds that a ticket must remain valid so that the next task can be decided with it. */
const MIN_TICKET_LIFE_MS = 400
/** Expected duration in milliseconds from which advice is requested before there is capacity. */
const LONG_ANSWER_MS = 150

/**
 * Sends the questions about steps.
 *
 * @internal
 */
export class StepQuestions {
	private readonly dispatcher: AdviceDispatcher
	private readonly allowedShares = new AllowedShare()

	constructor(
		private readonly context: LeaderContext,
		accounts: LeaderShares
	) {
		this.dispatcher = new AdviceDispatcher(context, accounts)
	}

	/** Times out overdue questions and sends waiting ones. */
	tick(now: number): void {
		this.dispatcher.tick(now)
	}

	/**
	 * Asks which of the eligible workers may run a step, unless a question about it is pending or
	 * would not help.
	 *
	 * @param tasks - the number of its tasks to place.
	 * @param roomAt - when the capacity reserved for the next of them is expected, on the leader's
	 * clock; undefined if none is reserved.
	 */
	ask(work: StepWork, eligible: readonly WorkerOption[], tasks: number, roomAt?: number): void {
		const { advice, queue } = work
		const now = this.context.clock.now()
		if (!queue.advice || advice.isAsking || now < advice.notBefore) return
		const answer = queue.advice.base + queue.advice.each * eligible.length
		// A gang starts only while all its tickets are valid, and a long answer is too late for
		// free
		// capacity. An urgent step needs to know where capacity can be freed for it.
		const ahead = answer >= LONG_ANSWER_MS || work.urgent
		const until = now + MIN_TICKET_LIFE_MS + (ahead || work.step.gang ? answer : 0)
		const share = this.allowedShares.shareOf(queue.name)
		const renew = roomAt === undefined || roomAt <= now + answer + MIN_TICKET_LIFE_MS
		const need = {
			tasks,
			until,
			most: MAX_WORKERS_PER_QUESTION,
			ahead,
			renew,
			share,
			terms: queue.advice,
		}
		const workers = chooseWorkersToAsk(work, eligible, need)
		if (workers.length > 0) this.send(work, workers, queue.advice)
	}

	/** @returns the share of workers that a queue's policy recently allowed, from 0 to 1. */
	allowedShareOf(queue: string): number {
		return this.allowedShares.shareOf(queue)
	}

	/** Asks about workers, in several parallel questions if one would take long. */
	askAbout(work: StepWork, workers: readonly string[]): void {
		const terms = work.queue.advice
		if (!terms) return
		for (const part of splitQuestion(workers, terms)) this.send(work, part, terms)
	}

	private send(work: StepWork, workers: readonly string[], terms: AdviceTerms): void {
		const now = this.context.clock.now()
		work.advice.onAsked(workers)
		const cost = terms.base + terms.each * workers.length
		const rank = rankOf(work.urgency)
		const done = (result: AdviceResult): void => this.onAnswer(work, workers, now, result)
		this.context.log.debug(LeaderEvent.AdviceAsked, { step: work.name, workers: workers.length })
		const claim = { account: work.account, urgency: work.urgency }
		const { priority } = work.queue
		this.dispatcher.ask({ step: work.name, workers, cost, rank, priority, claim, done })
	}

	private onAnswer(
		work: StepWork,
		asked: readonly string[],
		askedAt: number,
		result: AdviceResult
	): void {
		const { clock, timing, log, meter } = this.context
		const now = clock.now()
		meter.count(Measure.Advice, { outcome: result.kind })
		meter.observe(Measure.AdviceTime, now - askedAt)
		work.advice.onSettled(asked)
		work.shouldTryAllWorkers = true
		if (result.kind !== 'answered') {
			if (result.kind === 'busy') work.advice.notBefore = now + timing.retryPause
			const reason = result.kind === 'unknown' ? result.message : undefined
			log.info(LeaderEvent.AdviceCame, { step: work.name, outcome: result.kind, reason })
			return
		}
		const valid = work.queue.advice?.valid ?? 0
		work.advice.firstAnswerAt ??= now
		const newlyAsked = asked.filter((worker) => !work.advice.isAllowed(worker))
		const allowed = newlyAsked.filter((worker) => result.tickets.has(worker)).length
		this.allowedShares.record(work.queue.name, newlyAsked.length, allowed)
		work.advice.onAnswer(asked, result.tickets, now + valid - timing.ticketMargin)
		const took = Math.round(now - askedAt)
		const good = result.tickets.size
		log.debug(LeaderEvent.AdviceCame, { step: work.name, asked: asked.length, good, took })
	}
}
