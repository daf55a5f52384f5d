/** Maintains the set of workers from the platform's list, which may lag, and workers' own reports. */
import type { Resources } from '@rillrudder/scheduler'
import type { Configuration } from '@rillrudder/settings'
import type { DataCentreState } from '../state/DataCentreState'
import type { Effects, Moment } from './Effects'

/** A worker as the platform lists it. @public */
export interface ListedWorker {
	readonly id: string
	/** Host and port. */
	readonly address: string
	readonly dataCentre: string
	readonly rack: string
	readonly state: 'live' | 'leaving'
	/** Processors in thousandths, memory in MiB. */
	readonly capacity: Resources
}

/** How long a worker must be missing from the list before it counts as gone, since the list may lag. */
const MISSING_TIMEOUT_MS = 15_000

/**
 * The leader's controller for the membership of workers.
 *
 * @internal
 */
export class WorkerController {
	private readonly missingSince = new Map<string, number>()
	private readonly inFlight = new Set<string>()

	constructor(
		private readonly state: DataCentreState,
		private readonly effects: Effects,
		private readonly configuration: () => Configuration
	) {}

	clear(): void {
		this.missingSince.clear()
		this.inFlight.clear()
	}

	/** Handles the commit of a worker's change. */
	onWorkerChanged(id: string): void {
		this.inFlight.delete(id)
	}

	/** Handles a list of workers from the platform. */
	onWorkerList(workers: readonly ListedWorker[], moment: Moment): void {
		const listed = new Set<string>()
		for (const worker of workers) {
			listed.add(worker.id)
			this.missingSince.delete(worker.id)
			this.reconcile(worker, moment)
		}
		for (const { id, state } of this.state.workers.all()) {
			if (listed.has(id) || state === 'gone') continue
			const since = this.missingSince.get(id) ?? moment.now
			this.missingSince.set(id, since)
			if (moment.now - since >= MISSING_TIMEOUT_MS)
				this.proposeState(id, 'gone', 'not listed', moment)
		}
	}

	/** Handles a report that a worker is leaving, by itself or an entry instance, ahead of the list. */
	onLeaving(id: string, reason: string, moment: Moment): void {
		if (this.state.workers.find(id)?.state === 'live')
			this.proposeState(id, 'leaving', reason, moment)
	}

	private reconcile(listed: ListedWorker, moment: Moment): void {
		const known = this.state.workers.find(listed.id)
		const { slots } = this.configuration()
		const capacity = taskCapacityOf(listed.capacity, slots)
		// A list that lags must not reopen a worker that is known to leave under the same address.
		const isStillLeaving = known?.state === 'leaving' && known.address === listed.address
		const state = isStillLeaving ? 'leaving' : listed.state
		const isUnchanged =
			known !== undefined &&
			known.state === state &&
			known.address === listed.address &&
			known.slots === slots.perWorker &&
			known.capacity.cpu === capacity.cpu &&
			known.capacity.memory === capacity.memory &&
			known.capacity.accelerators === capacity.accelerators
		if (isUnchanged || this.inFlight.has(listed.id)) return
		this.inFlight.add(listed.id)
		const { id, address, rack } = listed
		const at = moment.at
		const reason = known?.reason ?? ''
		const update = { id, address, rack, capacity, slots: slots.perWorker, state, reason, at }
		this.effects.commands.push({ kind: 'worker', ...update })
	}

	private proposeState(
		id: string,
		state: 'leaving' | 'gone',
		reason: string,
		moment: Moment
	): void {
		const known = this.state.workers.find(id)
		if (!known || this.inFlight.has(id)) return
		this.inFlight.add(id)
		const { address, rack, capacity, slots } = known
		const at = moment.at
		const update = { id, address, rack, capacity, slots, state, reason, at }
		this.effects.commands.push({ kind: 'worker', ...update })
	}
}

/** @returns the capacity that remains for tasks after the share of all request slots. */
function taskCapacityOf(capacity: Resources, slots: Configuration['slots']): Resources {
	return {
		cpu: Math.max(0, capacity.cpu - slots.perWorker * slots.cpu),
		memory: Math.max(0, capacity.memory - slots.perWorker * slots.memory),
		accelerators: capacity.accelerators,
	}
}
