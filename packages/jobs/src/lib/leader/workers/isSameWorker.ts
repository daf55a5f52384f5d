/** Compares descriptions of a worker. */
import type { Resources } from '@rillrudder/scheduler'
import type { Worker } from '../../records/Cell'

/** @returns whether two descriptions are of the same incarnation and equal. @public */
export function isSameWorker(left: Worker, right: Worker): boolean {
	return (
		left.born === right.born &&
		isSamePlace(left, right) &&
		left.labels.join() === right.labels.join() &&
		isSameAmount(left.capacity, right.capacity)
	)
}

/**
 * @returns whether two descriptions have the same service and place, which an incarnation never
 * changes.
 * @internal
 */
export function isSamePlace(left: Worker, right: Worker): boolean {
	return (
		left.address === right.address &&
		left.service === right.service &&
		left.rack === right.rack &&
		left.dataCentre === right.dataCentre
	)
}

function isSameAmount(left: Resources, right: Resources): boolean {
	return (
		left.cpu === right.cpu &&
		left.memory === right.memory &&
		left.accelerators === right.accelerators
	)
}
