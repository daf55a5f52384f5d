/** Compares descriptions of a worker. */
import type { Resources } from '@rillrudder/scheduler'
import type { Worker } from '../../records/Cell'

/** @returns whether two descriptions are of one incarnation and say the same. @public */
export function isSameWorker(left: Worker, right: Worker): boolean {
	return (
		left.born === right.born &&
		isSamePlace(left, right) &&
		left.labels.join() === right.labels.join() &&
		isSameAmount(left.capacity, right.capacity)
	)
}

/** @returns whether two descriptions name the same service and place, which a worker keeps for its life. @internal */
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
