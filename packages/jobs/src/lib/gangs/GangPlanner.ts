/**
 * Plans gangs as a whole: keeps room for all members at one moment, and asks for tickets so that they hold then.
 *
 * Answers a cell in which many gangs wait for scarce room while tickets run out soon after they have come.
 */
import { Measure } from '@rillrudder/telemetry'
import type { StepQuestions } from '../leader/advice/StepQuestions'
import type { LeaderContext } from '../leader/LeaderContext'
import { LeaderEvent } from '../leader/LeaderEvent'
import type { WorkerOption } from '../leader/steps/chooseWorkerForStep'
import type { StepWork } from '../leader/steps/StepWork'
import type { Reservations } from '../placement/Reservations'
import { TaskStatus } from '../state/JobRecord'
import { planGang, type GangNeed, type GangPlan } from './GangPlan'
import { freeOf, learnWorkers, roomIn } from './learnWorkers'
import { needsPlan } from './needsPlan'
import type { WorkerReliability } from './WorkerReliability'

/** Milliseconds that a gang rather waits than begins on a worker that is likely to go. */
const UNSTEADY_DELAY = 1500

/**
 * Plans gangs.
 *
 * @internal
 */
export class GangPlanner {
	/** The moment for which each gang last asked for tickets, on the leader's clock. */
	private readonly askedFor = new WeakMap<StepWork, number>()

	/**
	 * @param context - what the parts of the leader share.
	 * @param reservations - the room that is kept for waiting steps.
	 * @param questions - asks for advice.
	 * @param reliability - which workers gangs are kept off.
	 */
	constructor(
		private readonly context: LeaderContext,
		private readonly reservations: Reservations,
		private readonly questions: StepQuestions,
		private readonly reliability: WorkerReliability
	) {}

	/** Plans a gang that found no room, or no tickets, and asks what its plan wants. */
	prepare(work: StepWork, eligible: readonly WorkerOption[], now: number): void {
		const need = this.needOf(work, eligible, now)
		if (!need || hasMemberElsewhere(work, eligible)) return
		const plan = this.planOf(work, eligible, need)
		if (plan) this.reservations.reservePlaces(work, plan.places, plan.at)
		const { advice } = work
		if (now < advice.notBefore) return
		// A gang that comes after many others learns no more workers than it did at first, until its turn comes.
		if (!plan && advice.firstAnswerAt !== undefined && !this.reservations.canReserve(work)) return
		// Workers that join are learned beside the plan: it does not wait for them.
		const isDue = plan && plan.renew.length > 0 && now >= plan.askAt
		if (isDue && !advice.renewing) this.renew(work, plan, now)
		if (!advice.learning) this.questions.askAbout(work, this.unknown(work, eligible, plan, need))
	}

	/** Learns which workers may run a gang whose earlier steps are about to be done. */
	learn(work: StepWork, eligible: readonly WorkerOption[], now: number): void {
		if (work.advice.asking || now < work.advice.notBefore) return
		const share = this.questions.shareOf(work.queue.name)
		this.questions.askAbout(work, learnWorkers(work, eligible, share, false))
	}

	/** @returns of the workers that may run a step those that gangs are not kept off; all of them for a step that is not planned. */
	steady(work: StepWork, options: readonly WorkerOption[], now: number): readonly WorkerOption[] {
		if (!needsPlan(work)) return options
		return options.filter(({ view }) => !this.reliability.isUnsteady(view.id, now))
	}

	/** A gang has begun: how far its plan was off is measured. */
	begun(work: StepWork, now: number): void {
		const planned = this.askedFor.get(work)
		if (planned === undefined) return
		this.askedFor.delete(work)
		this.context.meter.observe(Measure.GangPlanError, Math.abs(now - planned))
	}

	/** Gangs for which no room can be kept are planned only where there is room for them now. */
	private planOf(
		work: StepWork,
		eligible: readonly WorkerOption[],
		need: GangNeed
	): GangPlan | undefined {
		const allowed = eligible.filter(({ view }) => work.advice.isAllowed(view.id))
		const mayKeep = this.reservations.canReserve(work)
		if (!mayKeep && roomIn(work, allowed, freeOf) < need.members) return undefined
		return planGang(this.reservations.findPlaces(work, need.members, allowed), need)
	}

	/** Workers to learn of: not while those that are known will do at once, or the plan awaits its tickets. */
	private unknown(
		work: StepWork,
		eligible: readonly WorkerOption[],
		plan: GangPlan | undefined,
		{ now, terms }: GangNeed
	): string[] {
		const soon = now + terms.base + terms.each * (plan?.renew.length ?? 0)
		if (plan && plan.at <= soon) return []
		return learnWorkers(work, eligible, this.questions.shareOf(work.queue.name), true)
	}

	private renew(work: StepWork, { at, renew, places }: GangPlan, now: number): void {
		this.askedFor.set(work, at)
		const { name: step } = work
		const { length: members } = places
		const { size: workers } = new Set(places.map((place) => place.worker))
		const { length: renewed } = renew
		const ahead = Math.round(at - now)
		const fields = { step, members, workers, renewed, ahead }
		this.context.log.info(LeaderEvent.GangPlanned, fields)
		this.questions.askAbout(work, renew)
	}

	/** A gang goes as fast as its slowest member; one that is broken waits anew, and does part of its work again. */
	private delayOf(worker: string, expected: number, speed: number, now: number): number {
		const longer = Math.max(0, expected / speed - expected)
		return longer + (this.reliability.isUnsteady(worker, now) ? UNSTEADY_DELAY : 0)
	}

	private needOf(
		work: StepWork,
		eligible: readonly WorkerOption[],
		now: number
	): GangNeed | undefined {
		const { queue, record, advice, step } = work
		const { advice: terms } = queue
		if (!terms) return undefined
		const uneven = eligible.filter(({ view }) => view.speed !== 1)
		const speeds = new Map(uneven.map(({ view }) => [view.id, view.speed]))
		return {
			members: record.tasks.length,
			now,
			ticketLife: terms.valid - this.context.timing.ticketMargin,
			terms,
			holds: (worker, moment) =>
				advice.isRenewing(worker) || advice.ticket(worker, moment) !== undefined,
			delayOf: (worker) => this.delayOf(worker, step.expectedTime, speeds.get(worker) ?? 1, now),
		}
	}
}

/** Whether a member is still on a worker that is not open: how long that takes is not known, and no member begins before. */
function hasMemberElsewhere({ record }: StepWork, eligible: readonly WorkerOption[]): boolean {
	const placed = record.tasks.filter(({ status }) => status === TaskStatus.Placed)
	if (placed.length === 0) return false
	const open = new Set(eligible.map(({ view }) => view.id))
	return placed.some(({ worker }) => !open.has(worker))
}
