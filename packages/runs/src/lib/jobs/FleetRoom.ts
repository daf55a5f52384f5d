/** The room on the machines of a run, as the machines themselves know it. */
import type { Step } from '@rillrudder/jobs'
import { fits, minus, NO_RESOURCES, plus, type Resources } from '@rillrudder/scheduler'

/** A machine that is up. @internal */
export interface RoomyMachine {
	readonly worker: {
		readonly id: string
		readonly rack: string
		readonly labels: readonly string[]
		readonly capacity: Resources
	}
	/** What its runs take. */
	readonly used: Resources
}

/**
 * @param machines - the machines that are up.
 * @returns whether under half of each resource is in use.
 * @internal
 */
export function isHalfFree(machines: readonly RoomyMachine[]): boolean {
	const total = machines.reduce((sum, { worker }) => plus(sum, worker.capacity), NO_RESOURCES)
	const used = machines.reduce((sum, machine) => plus(sum, machine.used), NO_RESOURCES)
	return used.cpu * 2 < total.cpu && used.memory * 2 < total.memory
}

/**
 * @param step - the step of a job that runs nowhere.
 * @param machines - the machines that are up and may run it, whatever their labels are.
 * @returns whether there is room for twice the need of a task, or of the gang.
 * @internal
 */
export function hasRoomTwice(step: Step, machines: readonly RoomyMachine[]): boolean {
	const able = machines.filter(
		({ worker }) => step.requires === '' || worker.labels.includes(step.requires)
	)
	const wanted = 2 * (step.gang ? step.count : 1)
	const racks = new Set(able.map(({ worker }) => worker.rack))
	if (!step.sameRack) return placesOn(able, step) >= wanted
	return [...racks].some(
		(rack) =>
			placesOn(
				able.filter(({ worker }) => worker.rack === rack),
				step
			) >= wanted
	)
}

function placesOn(machines: readonly RoomyMachine[], { need, mostPerWorker }: Step): number {
	let places = 0
	for (const { worker, used } of machines) {
		const limit = mostPerWorker > 0 ? mostPerWorker : Number.POSITIVE_INFINITY
		let free = minus(worker.capacity, used)
		for (let taken = 0; taken < limit && hasNeed(need) && fits(need, free); taken++) {
			free = minus(free, need)
			places += 1
		}
	}
	return places
}

function hasNeed({ cpu, memory, accelerators }: Resources): boolean {
	return cpu + memory + accelerators > 0
}
