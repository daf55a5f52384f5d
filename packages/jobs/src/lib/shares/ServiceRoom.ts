/** The room of one service's workers, and parts of it. */
import {
	NO_RESOURCES,
	type LedgerWorker,
	type QuotaAccount,
	type Resources,
} from '@rillrudder/scheduler'

const RESOURCES = ['cpu', 'memory', 'accelerators'] as const

/** The room of a service's workers. @internal */
export interface ServiceRoom {
	/** Of all that are known: what runs on those that are out of reach still counts as held. */
	readonly total: Resources
	/** Of those that are open. */
	readonly free: Resources
}

/** @returns the largest share of a room that an account's quota allows; infinite without one. @internal */
export function quotaShare({ terms: { quota = {} } }: QuotaAccount, total: Resources): number {
	const shares = RESOURCES.map((resource) => {
		const most = quota[resource]
		return most === undefined ? Number.POSITIVE_INFINITY : most / Math.max(1, total[resource])
	})
	return Math.min(...shares)
}

/** @returns the share of a room that is free of every resource that the service has. @internal */
export function freeShare({ total, free }: ServiceRoom): number {
	const shares = RESOURCES.filter((resource) => total[resource] > 0).map(
		(resource) => Math.max(0, free[resource]) / total[resource]
	)
	return shares.length === 0 ? 0 : Math.min(...shares)
}

/** @returns the room of workers, as what each has and what of it is free. @internal */
export function roomOf(workers: readonly LedgerWorker[]): ServiceRoom {
	const total = { ...NO_RESOURCES }
	const free = { ...NO_RESOURCES }
	for (const worker of workers) {
		for (const resource of RESOURCES) {
			total[resource] += worker.capacity[resource]
			// A worker whose room has shrunk under what it runs has nothing free.
			if (worker.isOpen) free[resource] += Math.max(0, worker.free[resource])
		}
	}
	return { total, free }
}
