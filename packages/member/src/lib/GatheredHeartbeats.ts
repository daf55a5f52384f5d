/**
 * Heartbeats of workers that bring nothing new, gathered at an instance that does not lead and told to the leader in one
 * call. Each by itself would cost the leader a call and its answer, and there are hundreds a second.
 */
import {
	sameWorker,
	type CellReply,
	type HeardWorker,
	type Heartbeat,
	type KnownWorkers,
} from '@rillrudder/jobs'
import type { Clock } from '@rillrudder/utils'

/** Milliseconds for which heartbeats gather; a fifth of the time between two of them. */
const GATHER = 300
/** Milliseconds for which nothing is gathered after the leader could not be told: the workers then call another instance. */
const REST = 1500

/** What gathering needs of its instance. @internal */
export interface GatheredHeartbeatsParts {
	/** The workers as this replica knows them. */
	readonly workers: KnownWorkers
	readonly clock: Clock
	/** Tells the leader. */
	readonly tell: (heard: readonly HeardWorker[]) => Promise<CellReply>
	/** Whether a leader is known that can be told. */
	readonly mayTell: () => boolean
}

/**
 * Gathers heartbeats.
 *
 * @internal
 */
export class GatheredHeartbeats {
	/** For each worker what it said last, and when. */
	private gathered = new Map<string, { readonly heartbeat: Heartbeat; readonly at: number }>()
	private restsUntil = Number.NEGATIVE_INFINITY

	constructor(private readonly parts: GatheredHeartbeatsParts) {}

	/** @returns whether the leader will be told; otherwise the heartbeat has to be brought to it. */
	take(heartbeat: Heartbeat): boolean {
		const { clock, mayTell } = this.parts
		const now = clock.now()
		if (now < this.restsUntil || !mayTell() || !this.isRoutine(heartbeat)) return false
		if (this.gathered.size === 0) clock.after(GATHER, () => void this.flush())
		this.gathered.set(heartbeat.worker.id, { heartbeat, at: now })
		return true
	}

	/** Whether it only says that a worker is there as this replica knows it. */
	private isRoutine({ worker, draining }: Heartbeat): boolean {
		const { workers } = this.parts
		const known = workers.find(worker.id)
		if (!known || draining || known.draining) return false
		return workers.at(worker.address) === known && sameWorker(known.worker, worker)
	}

	private async flush(): Promise<void> {
		const { clock, tell } = this.parts
		const now = clock.now()
		const heard = [...this.gathered.values()].map(({ heartbeat, at }) => ({
			worker: heartbeat.worker.id,
			sequence: heartbeat.sequence,
			clock: heartbeat.clock,
			age: now - at,
		}))
		this.gathered.clear()
		const { kind } = await tell(heard)
		if (kind !== 'noted') this.restsUntil = clock.now() + REST
	}
}
