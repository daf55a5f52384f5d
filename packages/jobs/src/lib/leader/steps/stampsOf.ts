/** Tells whether it is worth trying the steps of a service again. */
import type { Option } from './chooseForStep'

/** What each open worker adds to its service's stamp: more than anything that comes free in a leadership. */
const WORKER_STAMP = 1e9

/**
 * @param open - the open workers.
 * @returns for each service a number that changes when something came free at its open workers, or their number changed.
 * @internal
 */
export function stampsOf(open: readonly Option[]): Map<string, number> {
	const stamps = new Map<string, number>()
	for (const { view, account } of open) {
		const { service } = view.worker
		stamps.set(service, (stamps.get(service) ?? 0) + account.releases + WORKER_STAMP)
	}
	return stamps
}
