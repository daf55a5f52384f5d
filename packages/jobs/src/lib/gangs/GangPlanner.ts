/**
 * Plans gangs as a whole: reserves capacity for all members at one moment, and requests tickets so
 * that they are valid then.
 *
 * This is needed where many gangs wait for scarce capacity and tickets expire soon after they
 * arrive.
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
import {
	freeResourcesOf,
	chooseGangWorkersToAsk,
	countMembersFitting,
} from './chooseGangWorkersToAsk'
import { shouldPlanGang } from './shouldPlanGang'
import type { WorkerReliability } from './WorkerReliability'

/** Milliseconds that a gang would rather wait than start on an unreliable worker. */
const UNRELIABLE_DELAY_MS = 1500

/**
 * Plans gangs of which capacity and tickets must be coordinated.
 *
 * @internal
 */
export class GangPlanner {
	/** The planned start for which each gang last requested tickets, on the leader's clock. */
	private readonly askedFor = new WeakMap<StepWork, number>()

	/**
	 * @param context - the context shared by the leader's components.
	 * @param reservations - the capacity that is reserved for waiting steps.
	 * @param questions - requests advice.
	 * @param reliability - tells which workers gangs should avoid.
	 */
	constructor(
		private readonly context: LeaderContext,
		private readonly reservations: Reservations,
		private readonly questions: StepQuestions,
		private readonly reliability: WorkerReliability
	) {}

	/**
	 * Plans a gang that lacks capacity or tickets, and requests the tickets that its plan needs.
	 */
	plan(work: StepWork, eligible: readonly WorkerOption[], now: number): void {
		const need = this.toGangNeed(work, eligible, now)
		if (!need || hasMemberElsewhere(work, eligible)) return
		const plan = this.planOf(work, eligible, need)
		if (plan) this.reservations.reservePlaces(work, plan.places, plan.at)
		const { advice } = work
		if (now < advice.notBefore) return
		// A gang behind many others discovers no further workers until its turn comes.
		if (!plan && advice.firstAnswerAt !== undefined && !this.reservations.canReserve(work)) return
		// Workers that join are discovered in parallel; the plan does not wait for them.
		const isDue = plan && plan.workersToAsk.length > 0 && now >= plan.askAt
		if (isDue && !advice.isRenewingAny) this.askForTickets(work, plan, now)
		if (!advice.isDiscovering)
			this.questions.askAbout(work, this.workersToDiscover(work, eligible, plan, need))
	}

	/** Discovers which workers may run a gang whose earlier steps are about to complete. */
	discoverWorkers(work: StepWork, eligible: readonly WorkerOption[], now: number): void {
		if (work.advice.isAsking || now < work.advice.notBefore) return
		const share = this.questions.allowedShareOf(work.queue.name)
		this.questions.askAbout(work, chooseGangWorkersToAsk(work, eligible, share, false))
	}

	/**
	 * @returns the options of a step without those on unreliable workers; all of them if the step
	 * is not a planned gang.
	 */
	withoutUnreliable(
		work: StepWork,
		options: readonly WorkerOption[],
		now: number
	): readonly WorkerOption[] {
		if (!shouldPlanGang(work)) return options
		return options.filter(({ view }) => !this.reliability.isUnreliable(view.id, now))
	}

	/** Handles the start of a gang: the error of its plan is measured. */
	onStarted(work: StepWork, now: number): void {
		const planned = this.askedFor.get(work)
		if (planned === undefined) return
		this.askedFor.delete(work)
		this.context.meter.observe(Measure.GangPlanError, Math.abs(now - planned))
	}

	/**
	 * Plans a gang. Without a reservation it is planned only if there is enough free capacity now.
	 */
	private planOf(
		work: StepWork,
		eligible: readonly WorkerOption[],
		need: GangNeed
	): GangPlan | undefined {
		const allowed = eligible.filter(({ view }) => work.advice.isAllowed(view.id))
		const mayKeep = this.reservations.canReserve(work)
		if (!mayKeep && countMembersFitting(work, allowed, freeResourcesOf) < need.members)
			return undefined
		return planGang(this.reservations.findPlaces(work, need.members, allowed), need)
	}

	/**
	 * Chooses workers to discover. None if the known ones suffice right now, or as soon as the plan
	 * has its tickets.
	 */
	private workersToDiscover(
		work: StepWork,
		eligible: readonly WorkerOption[],
		plan: GangPlan | undefined,
		{ now, terms }: GangNeed
	): string[] {
		const soon = now + terms.base + terms.each * (plan?.workersToAsk.length ?? 0)
		if (plan && plan.at <= soon) return []
		return chooseGangWorkersToAsk(
			work,
			eligible,
			this.questions.allowedShareOf(work.queue.name),
			true
		)
	}

	private askForTickets(work: StepWork, { at, workersToAsk, places }: GangPlan, now: number): void {
		this.askedFor.set(work, at)
		const { name: step } = work
		const { length: members } = places
		const { size: workers } = new Set(places.map((place) => place.worker))
		const { length: renewed } = workersToAsk
		const ahead = Math.round(at - now)
		const fields = { step, members, workers, renewed, ahead }
		this.context.log.info(LeaderEvent.GangPlanned, fields)
		this.questions.askAbout(work, workersToAsk)
	}

	/**
	 * Computes the penalty of a worker in milliseconds. A gang is as slow as its slowest member,
	 * and one that breaks waits again and repeats part of its work.
	 */
	private delayOf(worker: string, expected: number, speed: number, now: number): number {
		const longer = Math.max(0, expected / speed - expected)
		return longer + (this.reliability.isUnreliable(worker, now) ? UNRELIABLE_DELAY_MS : 0)
	}

	private toGangNeed(
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
			hasTicket: (worker, moment) =>
				advice.isRenewing(worker) || advice.ticketOf(worker, moment) !== undefined,
			delayOf: (worker) => this.delayOf(worker, step.expectedTime, speeds.get(worker) ?? 1, now),
		}
	}
}

/**
 * Whether a member is still placed on a worker that is not eligible. No other member starts before
 * it ends, and it is unknown how long that takes.
 */
function hasMemberElsewhere({ record }: StepWork, eligible: readonly WorkerOption[]): boolean {
	const placed = record.tasks.filter(({ status }) => status === TaskStatus.Placed)
	if (placed.length === 0) return false
	const open = new Set(eligible.map(({ view }) => view.id))
	return placed.some(({ worker }) => !open.has(worker))
}
