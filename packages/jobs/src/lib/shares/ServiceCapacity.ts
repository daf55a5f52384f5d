/** The capacity of one service's workers, and shares of it. */
import {
	NO_RESOURCES,
	type LedgerWorker,
	type QuotaAccount,
	type Resources,
} from '@rillrudder/scheduler'

const RESOURCES = ['cpu', 'memory', 'accelerators'] as const

/** The capacity of a service's workers. @internal */
export interface ServiceCapacity {
	/** Capacity of all known workers: what runs on unreachable ones still counts as held. */
	readonly total: Resources
	/** Free capacity of the open workers. */
	readonly free: Resources
}

/**
 * @returns the largest share of a total that an account's quota allows; infinite without a quota.
 *
 * @internal
 */
export function quotaShareOf({ terms: { quota = {} } }: QuotaAccount, total: Resources): number {
	const shares = RESOURCES.map((resource) => {
		const limit = quota[resource]
		return limit === undefined ? Number.POSITIVE_INFINITY : limit / Math.max(1, total[resource])
	})
	return Math.min(...shares)
}

/** @returns the free share of the scarcest resource that the service has. @internal */
export function freeShareOf({ total, free }: ServiceCapacity): number {
	const shares = RESOURCES.filter((resource) => total[resource] > 0).map(
		(resource) => Math.max(0, free[resource]) / total[resource]
	)
	return shares.length === 0 ? 0 : Math.min(...shares)
}

/** @returns the total and free capacity of workers. @internal */
export function capacityOf(workers: readonly LedgerWorker[]): ServiceCapacity {
	const total = { ...NO_RESOURCES }
	const free = { ...NO_RESOURCES }
	for (const worker of workers) {
		for (const resource of RESOURCES) {
			total[resource] += worker.capacity[resource]
			// A worker whose capacity has shrunk below what it runs has nothing free.
			if (worker.isOpen) free[resource] += Math.max(0, worker.free[resource])
		}
	}
	return { total, free }
}
