/**
 * Room that is kept for steps that wait for it. A gang, or a task that takes much of a worker, never finds
 * room by itself while smaller tasks take each piece as it comes free. So the workers on which its room is expected
 * soonest are set aside for it; other work may still begin there when it will be gone by then, or fits beside it.
 */
import { fits, minus, times, type Resources } from '@rillrudder/scheduler'
import type { WorkerOption } from '../leader/steps/chooseWorkerForStep'
import { byUrgency, type StepWork } from '../leader/steps/StepWork'
import type { Place } from '../gangs/GangPlan'
import { CapacityForecast } from './CapacityForecast'

/** Share of a worker's largest resource from which a task counts as one that finds no room by itself. */
const LARGE_TASK_SHARE = 0.25
/** Steps of one service that may have room kept at a time, the most urgent ones; bounds the time of a pass. */
const MAX_STEPS_PER_SERVICE = 12
/** What a task's time is multiplied by before it may begin on kept room: declared times are off by half. */
const TIME_MARGIN = 1.3

/** Room that is kept on one worker. */
interface Reservation {
	readonly work: StepWork
	/** What is kept, for all tasks of the step that are to go there. */
	readonly resources: Resources
	/** When it is expected to be free, on the leader's clock. */
	readonly at: number
}

/** When kept room is expected, on the leader's clock. @internal */
export interface ReservedTimes {
	/** For the next task that can begin; of a gang none begins before all can. */
	readonly next: number
	/** For the last one that waits. */
	readonly last: number
	/** How much room is kept. */
	readonly resources: Resources
}

/**
 * The room that is kept for waiting steps.
 *
 * @internal
 */
export class Reservations {
	private readonly byWorker = new Map<string, Reservation[]>()
	private readonly expectedTimes = new Map<StepWork, ReservedTimes>()
	/** How many steps of each service have room kept. */
	private readonly counts = new Map<string, number>()
	/** Forecasts of this pass, by worker. */
	private readonly forecasts = new Map<string, CapacityForecast>()
	private now = 0

	/**
	 * A new pass over the waiting steps begins.
	 *
	 * @param full - whether all waiting steps are tried, in their order: then what is kept is told anew.
	 */
	beginPass(now: number, full: boolean): void {
		this.now = now
		this.forecasts.clear()
		if (!full) return
		this.byWorker.clear()
		this.expectedTimes.clear()
		this.counts.clear()
	}

	/** @returns when a step's room is expected, on the leader's clock; undefined when none is kept. */
	getExpectedTimes(work: StepWork): ReservedTimes | undefined {
		return this.expectedTimes.get(work)
	}

	/** Keeps nothing for a step any more. */
	drop(work: StepWork): void {
		if (!this.expectedTimes.delete(work)) return
		this.counts.set(work.queue.service, this.countOf(work) - 1)
		for (const [worker, reserved] of this.byWorker) {
			const others = reserved.filter((one) => one.work !== work)
			if (others.length > 0) this.byWorker.set(worker, others)
			else this.byWorker.delete(worker)
		}
	}

	/**
	 * @param work - a step that wants to begin a task on a worker that has room for it.
	 * @returns whether that would delay no step that goes before it and for which room is kept there.
	 */
	allows(work: StepWork, option: WorkerOption): boolean {
		const preceding = this.getPrecedingReservations(work, option.view.id)
		if (preceding.length === 0) return true
		const at = Math.max(...preceding.map((reserved) => reserved.at))
		const ends = this.now + (work.step.expectedTime * TIME_MARGIN) / option.view.speed
		if (!work.step.lasting && ends <= at) return true
		return fits(work.need, subtractReserved(this.forecastOf(option).getFreeAt(at), preceding))
	}

	/**
	 * Keeps room for a step's tasks that found none.
	 *
	 * @param work - the step, for which nothing is kept yet.
	 * @param tasks - how many of its tasks wait.
	 * @param options - workers that may run it.
	 */
	reserveIfNeeded(work: StepWork, tasks: number, options: readonly WorkerOption[]): void {
		if (!this.canReserve(work) || !needsReservation(work, options)) return
		const places = this.findPlaces(work, tasks, options).slice(0, tasks)
		if (places.length === 0 || (work.step.gang && places.length < tasks)) return
		this.reservePlaces(work, places, places[places.length - 1].at)
	}

	/** @returns whether room can be kept for one more step of a service. */
	canReserve(work: StepWork): boolean {
		return this.countOf(work) < MAX_STEPS_PER_SERVICE
	}

	/**
	 * Keeps places for tasks of a step, for which nothing is kept yet.
	 *
	 * @param work - the step.
	 * @param places - one for each task, the soonest first.
	 * @param last - when the last of them begins, on the leader's clock.
	 */
	reservePlaces(work: StepWork, places: readonly Place[], last: number): void {
		if (!this.canReserve(work)) return
		const first = places[0].at
		for (const [worker, { count, at }] of groupByWorker(places)) {
			const reserved = this.byWorker.get(worker) ?? []
			// A gang begins at once everywhere; of other steps each task as soon as there is room for it.
			const until = work.step.gang ? last : at
			this.byWorker.set(worker, [
				...reserved,
				{ work, resources: times(work.need, count), at: until },
			])
		}
		const room = times(work.need, places.length)
		this.expectedTimes.set(work, { next: work.step.gang ? last : first, last, resources: room })
		this.counts.set(work.queue.service, this.countOf(work) + 1)
	}

	/** @returns the places of a step's tasks, the soonest first, beside what is kept for steps that go before. */
	findPlaces(work: StepWork, tasks: number, options: readonly WorkerOption[]): Place[] {
		const places: Place[] = []
		for (const option of options) {
			const { id } = option.view
			const preceding = this.getPrecedingReservations(work, id)
			let copies = 0
			for (const { at, free } of this.forecastOf(option).getPoints()) {
				const room = subtractReserved(free, preceding)
				const more = work.countFittingTasks(id, room) - copies
				for (let copy = 0; copy < more && copy < tasks; copy++) places.push({ worker: id, at })
				copies += Math.max(0, more)
			}
		}
		return places.sort((left, right) => left.at - right.at)
	}

	private countOf({ queue }: StepWork): number {
		return this.counts.get(queue.service) ?? 0
	}

	private forecastOf(option: WorkerOption): CapacityForecast {
		const { id } = option.view
		const forecast = this.forecasts.get(id) ?? new CapacityForecast(option, this.now)
		this.forecasts.set(id, forecast)
		return forecast
	}

	private getPrecedingReservations(work: StepWork, worker: string): Reservation[] {
		const reserved = this.byWorker.get(worker) ?? []
		return reserved.filter((one) => one.work !== work && byUrgency(one.work, work) < 0)
	}
}

/** How many of the places are on each worker, and when the last of them is free. */
function groupByWorker(places: readonly Place[]): Map<string, { count: number; at: number }> {
	const byWorker = new Map<string, { count: number; at: number }>()
	for (const { worker, at } of places) {
		const known = byWorker.get(worker) ?? { count: 0, at: 0 }
		byWorker.set(worker, { count: known.count + 1, at: Math.max(known.at, at) })
	}
	return byWorker
}

function subtractReserved(room: Resources, reserved: readonly Reservation[]): Resources {
	return reserved.reduce((left, one) => minus(left, one.resources), room)
}

/** Whether a step's tasks find no room by themselves. */
function needsReservation(work: StepWork, options: readonly WorkerOption[]): boolean {
	if (work.step.gang) return true
	return options.some(({ account: { most } }) => largestShare(work.need, most) >= LARGE_TASK_SHARE)
}

function largestShare(need: Resources, capacity: Resources): number {
	const shareOf = (part: number, whole: number): number => (whole > 0 ? part / whole : 0)
	return Math.max(
		shareOf(need.cpu, capacity.cpu),
		shareOf(need.memory, capacity.memory),
		shareOf(need.accelerators, capacity.accelerators)
	)
}
