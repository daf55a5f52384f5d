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
const BATCH_DELAY_MS = 300
/** Milliseconds for which nothing is gathered after there was no leader to tell: the workers then call another instance. */
const NO_LEADER_BACKOFF_MS = 1500
/**
 * Milliseconds for which heartbeats are gathered while a leader that is known gives no answer. It may only be busy, and is told again; it is not
 * told of each by itself, which would keep it busy. An instance that can't reach it for longer sends workers to others.
 */
const MAX_UNANSWERED_MS = 1500

/** What becomes of a heartbeat. @internal */
export const HeartbeatHandling = {
	/** The leader will be told of it with others. */
	Batched: 'gathered',
	/** It has to be brought to the leader by itself. */
	Forwarded: 'passed',
	/** The leader can't be told: the worker should call another instance. */
	Refused: 'refused',
} as const
/** One of the answers. @internal */
export type HeartbeatHandling = (typeof HeartbeatHandling)[keyof typeof HeartbeatHandling]

/** What gathering needs of its instance. @internal */
export interface HeartbeatBatcherParts {
	/** The workers as this replica knows them. */
	readonly workers: KnownWorkers
	readonly clock: Clock
	/** Tells the leader. */
	readonly report: (heard: readonly HeardWorker[]) => Promise<CellReply>
	/** Whether a leader is known that can be told. */
	readonly canReport: () => boolean
	/** Told when heartbeats begin to be refused, and when they are no longer. */
	readonly onRefusingChanged?: (active: boolean) => void
}

/**
 * Gathers heartbeats.
 *
 * @internal
 */
export class HeartbeatBatcher {
	/** For each worker what it said last, and when. */
	private pending = new Map<string, { readonly heartbeat: Heartbeat; readonly at: number }>()
	private backoffUntil = Number.NEGATIVE_INFINITY
	/** Since when the leader has not answered; undefined once it has. */
	private unansweredSince: number | undefined
	private isFlushScheduled = false
	private isRefusing = false

	constructor(private readonly parts: HeartbeatBatcherParts) {}

	/** Takes a heartbeat. @returns what becomes of it. */
	handle(heartbeat: Heartbeat): HeartbeatHandling {
		const { clock, canReport: mayTell } = this.parts
		const now = clock.now()
		if (now < this.backoffUntil || !mayTell() || !this.isRoutine(heartbeat))
			return HeartbeatHandling.Forwarded
		const unanswered = this.unansweredSince === undefined ? 0 : now - this.unansweredSince
		this.setRefusing(unanswered > MAX_UNANSWERED_MS)
		if (this.isRefusing) return HeartbeatHandling.Refused
		this.pending.set(heartbeat.worker.id, { heartbeat, at: now })
		this.scheduleFlush()
		return HeartbeatHandling.Batched
	}

	/** Whether it only says that a worker is there as this replica knows it. */
	private isRoutine({ worker, draining }: Heartbeat): boolean {
		const { workers } = this.parts
		const known = workers.find(worker.id)
		if (!known || draining || known.draining) return false
		return workers.at(worker.address) === known && sameWorker(known.worker, worker)
	}

	private setRefusing(active: boolean): void {
		if (active === this.isRefusing) return
		this.isRefusing = active
		this.parts.onRefusingChanged?.(active)
	}

	private scheduleFlush(): void {
		if (this.isFlushScheduled) return
		this.isFlushScheduled = true
		this.parts.clock.after(BATCH_DELAY_MS, () => void this.flush())
	}

	private async flush(): Promise<void> {
		const { clock, report: tell } = this.parts
		const now = clock.now()
		const batch = this.pending
		this.pending = new Map()
		this.isFlushScheduled = false
		const heard = [...batch.values()].map(({ heartbeat, at }) => ({
			worker: heartbeat.worker.id,
			sequence: heartbeat.sequence,
			clock: heartbeat.clock,
			age: now - at,
		}))
		const { kind } = await tell(heard)
		if (kind === 'unknown') this.requeue(batch, now)
		else this.unansweredSince = undefined
		if (kind === 'not-run') this.backoffUntil = clock.now() + NO_LEADER_BACKOFF_MS
	}

	/** Nothing is known of what became of heartbeats: they are told again with those that have come since. */
	private requeue(batch: HeartbeatBatcher['pending'], since: number): void {
		this.unansweredSince ??= since
		for (const [worker, entry] of batch) {
			if (!this.pending.has(worker)) this.pending.set(worker, entry)
		}
		this.scheduleFlush()
	}
}
