/**
 * Reserves capacity for steps that wait for it. A gang, or a task that needs a large part of a
 * worker, would starve while smaller tasks take each piece of capacity that is freed. The workers
 * on which its capacity is expected soonest are therefore reserved for it. Other work may still
 * start there (backfill) if it is expected to end before the reservation begins or fits beside it.
 */
import { fits, minus, times, type Resources } from '@rillrudder/scheduler'
import type { WorkerOption } from '../leader/steps/chooseWorkerForStep'
import { byUrgency, type StepWork } from '../leader/steps/StepWork'
import type { Place } from '../gangs/GangPlan'
import { CapacityForecast } from './CapacityForecast'

/** Share of any of a worker's resources from which a task is large enough to need a reservation. */
const LARGE_TASK_SHARE = 0.25
/**
 * Steps per service that may hold a reservation, the most urgent ones; bounds the duration of a
 * pass.
 */
const MAX_STEPS_PER_SERVICE = 12
/**
 * Factor on a task's expected time before it may start on reserved capacity: declared times are off
 * by half.
 */
const TIME_MARGIN = 1.3

/** Capacity that is reserved on one worker. */
interface Reservation {
	readonly work: StepWork
	/** What is reserved, for all tasks of the step that are to run there. */
	readonly resources: Resources
	/** When it is expected to be free, on the leader's clock. */
	readonly at: number
}

/** When reserved capacity is expected to be free, on the leader's clock. @internal */
export interface ReservedTimes {
	/** For the next task that can start; for a gang, when all of its tasks can. */
	readonly next: number
	/** For the last waiting task. */
	readonly last: number
	/** The total that is reserved. */
	readonly resources: Resources
}

/**
 * The reservations of waiting steps.
 *
 * @internal
 */
export class Reservations {
	private readonly byWorker = new Map<string, Reservation[]>()
	private readonly expectedTimes = new Map<StepWork, ReservedTimes>()
	/** How many steps of each service hold a reservation. */
	private readonly counts = new Map<string, number>()
	/** Forecasts of this pass, by worker id. */
	private readonly forecasts = new Map<string, CapacityForecast>()
	private now = 0

	/**
	 * Starts a new pass over the waiting steps.
	 *
	 * @param now - the current time, on the leader's clock.
	 * @param full - whether all waiting steps are tried, in their order; reservations are then
	 * rebuilt.
	 */
	beginPass(now: number, full: boolean): void {
		this.now = now
		this.forecasts.clear()
		if (!full) return
		this.byWorker.clear()
		this.expectedTimes.clear()
		this.counts.clear()
	}

	/**
	 * @returns when a step's reserved capacity is expected; undefined when it has no reservation.
	 */
	getExpectedTimes(work: StepWork): ReservedTimes | undefined {
		return this.expectedTimes.get(work)
	}

	/** Removes a step's reservation. */
	drop(work: StepWork): void {
		if (!this.expectedTimes.delete(work)) return
		this.counts.set(work.queue.service, this.countOf(work) - 1)
		for (const [worker, reserved] of this.byWorker) {
			const others = reserved.filter((reservation) => reservation.work !== work)
			if (others.length > 0) this.byWorker.set(worker, others)
			else this.byWorker.delete(worker)
		}
	}

	/**
	 * @param work - a step that could start a task on a worker with free capacity.
	 * @param option - the worker.
	 * @returns whether that would delay no step of higher urgency that holds a reservation there.
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
	 * Reserves capacity for waiting tasks of a step, if it needs a reservation.
	 *
	 * @param work - the step, which has no reservation yet.
	 * @param tasks - how many of its tasks wait.
	 * @param options - workers that may run it.
	 */
	reserveIfNeeded(work: StepWork, tasks: number, options: readonly WorkerOption[]): void {
		if (!this.canReserve(work) || !needsReservation(work, options)) return
		const places = this.findPlaces(work, tasks, options).slice(0, tasks)
		if (places.length === 0 || (work.step.gang && places.length < tasks)) return
		this.reservePlaces(work, places, places[places.length - 1].at)
	}

	/** @returns whether one more step of the service may hold a reservation. */
	canReserve(work: StepWork): boolean {
		return this.countOf(work) < MAX_STEPS_PER_SERVICE
	}

	/**
	 * Reserves given places for tasks of a step that has no reservation yet.
	 *
	 * @param work - the step.
	 * @param places - one for each task, the earliest first.
	 * @param last - when the last of them is free, on the leader's clock.
	 */
	reservePlaces(work: StepWork, places: readonly Place[], last: number): void {
		if (!this.canReserve(work)) return
		const first = places[0].at
		for (const [worker, { count, at }] of groupByWorker(places)) {
			const reserved = this.byWorker.get(worker) ?? []
			// All tasks of a gang start together; tasks of other steps start as soon as each has
			// capacity.
			const until = work.step.gang ? last : at
			this.byWorker.set(worker, [
				...reserved,
				{ work, resources: times(work.need, count), at: until },
			])
		}
		const resources = times(work.need, places.length)
		this.expectedTimes.set(work, { next: work.step.gang ? last : first, last, resources })
		this.counts.set(work.queue.service, this.countOf(work) + 1)
	}

	/**
	 * @returns the places where tasks of a step would fit beside reservations of higher urgency,
	 * the earliest first.
	 */
	findPlaces(work: StepWork, tasks: number, options: readonly WorkerOption[]): Place[] {
		const places: Place[] = []
		for (const option of options) {
			const { id } = option.view
			const preceding = this.getPrecedingReservations(work, id)
			let copies = 0
			for (const { at, free } of this.forecastOf(option).getPoints()) {
				const available = subtractReserved(free, preceding)
				const more = work.countFittingTasks(id, available) - copies
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
		return reserved.filter(
			(reservation) => reservation.work !== work && byUrgency(reservation.work, work) < 0
		)
	}
}

/** Counts the places on each worker and finds when the last of them is free. */
function groupByWorker(places: readonly Place[]): Map<string, { count: number; at: number }> {
	const byWorker = new Map<string, { count: number; at: number }>()
	for (const { worker, at } of places) {
		const known = byWorker.get(worker) ?? { count: 0, at: 0 }
		byWorker.set(worker, { count: known.count + 1, at: Math.max(known.at, at) })
	}
	return byWorker
}

function subtractReserved(free: Resources, reserved: readonly Reservation[]): Resources {
	return reserved.reduce((left, reservation) => minus(left, reservation.resources), free)
}

/** Whether a step's tasks would starve without a reservation. */
function needsReservation(work: StepWork, options: readonly WorkerOption[]): boolean {
	if (work.step.gang) return true
	return options.some(
		({ account: { maxCapacity: most } }) => largestShare(work.need, most) >= LARGE_TASK_SHARE
	)
}

function largestShare(need: Resources, capacity: Resources): number {
	const shareOf = (part: number, whole: number): number => (whole > 0 ? part / whole : 0)
	return Math.max(
		shareOf(need.cpu, capacity.cpu),
		shareOf(need.memory, capacity.memory),
		shareOf(need.accelerators, capacity.accelerators)
	)
}
