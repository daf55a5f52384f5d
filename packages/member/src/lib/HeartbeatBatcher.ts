/**
 * Batches routine heartbeats of workers at an instance that does not lead, and reports them to the
 * leader in one call. Forwarded one by one, each would cost the leader a call and an answer,
 * hundreds of times a second.
 */
import {
	isSameWorker,
	type CellReply,
	type RelayedHeartbeat,
	type Heartbeat,
	type KnownWorkers,
} from '@rillrudder/jobs'
import type { Clock } from '@rillrudder/utils'

/** Milliseconds for which heartbeats are collected into a batch: a fifth of the heartbeat interval. */
const BATCH_DELAY_MS = 300
/**
 * Milliseconds for which no heartbeat is acknowledged at once after no leader was found: workers
 * then call another instance.
 */
const NO_LEADER_BACKOFF_MS = 1500
/** Milliseconds for which a heartbeat waits for a leader; a leader change takes less. */
const MAX_DEFERRAL_MS = 700
/** Milliseconds between two checks whether a leader is known. */
const DEFERRAL_CHECK_MS = 50
/**
 * Milliseconds for which heartbeats are batched while a known leader does not answer. It may only
 * be busy, so the batch is sent again; forwarding heartbeats one by one would keep it busy. After
 * that, workers are sent to other instances.
 */
const MAX_UNANSWERED_MS = 1500

/** How a heartbeat is handled. @internal */
export const HeartbeatHandling = {
	/** It will be reported to the leader in a batch. */
	Batched: 'gathered',
	/** It will be reported in a batch once a leader is known, or refused if there is none in time. */
	Deferred: 'deferred',
	/** It has to be forwarded to the leader by itself. */
	Forwarded: 'passed',
	/** The leader is unreachable: the worker should call another instance. */
	Refused: 'refused',
} as const
/** A value of `HeartbeatHandling`. @internal */
export type HeartbeatHandling = (typeof HeartbeatHandling)[keyof typeof HeartbeatHandling]

/** Dependencies of a heartbeat batcher. @internal */
export interface HeartbeatBatcherParts {
	/** The workers as this replica knows them. */
	readonly workers: KnownWorkers
	readonly clock: Clock
	/** Reports a batch to the leader. */
	readonly report: (heard: readonly RelayedHeartbeat[]) => Promise<CellReply>
	/** Whether a leader is known. */
	readonly canReport: () => boolean
	/** Called when heartbeats start to be refused, and when they are accepted again. */
	readonly onRefusingChanged?: (active: boolean) => void
}

interface DeferredHeartbeat {
	readonly heartbeat: Heartbeat
	readonly at: number
	/** Called with whether it will be reported in a batch. */
	readonly done: (isBatched: boolean) => void
}

/**
 * Batches heartbeats for the leader.
 *
 * @internal
 */
export class HeartbeatBatcher {
	/** The last heartbeat of each worker, and when it arrived. */
	private pending = new Map<string, { readonly heartbeat: Heartbeat; readonly at: number }>()
	private deferred: DeferredHeartbeat[] = []
	private backoffUntil = Number.NEGATIVE_INFINITY
	/** Since when the leader has not answered; undefined while it answers. */
	private unansweredSince: number | undefined
	private isFlushScheduled = false
	private isRefusing = false

	constructor(private readonly parts: HeartbeatBatcherParts) {}

	/** Handles a heartbeat. @returns how it was handled. */
	handle(heartbeat: Heartbeat): HeartbeatHandling {
		const { clock, canReport: mayTell } = this.parts
		const now = clock.now()
		if (!this.isRoutine(heartbeat)) return HeartbeatHandling.Forwarded
		if (now < this.backoffUntil || !mayTell()) return HeartbeatHandling.Deferred
		const unanswered = this.unansweredSince === undefined ? 0 : now - this.unansweredSince
		this.setRefusing(unanswered > MAX_UNANSWERED_MS)
		if (this.isRefusing) return HeartbeatHandling.Refused
		this.add(heartbeat, now)
		return HeartbeatHandling.Batched
	}

	/**
	 * Keeps a deferred heartbeat until a leader is known. Forwarded one by one, all that waited would
	 * reach a new leader in its first moments.
	 *
	 * @returns whether it will be reported in a batch; false if no leader became known in time.
	 */
	defer(heartbeat: Heartbeat): Promise<boolean> {
		return new Promise((done) => {
			this.deferred.push({ heartbeat, at: this.parts.clock.now(), done })
			if (this.deferred.length === 1) this.scheduleDeferralCheck()
		})
	}

	private scheduleDeferralCheck(): void {
		this.parts.clock.after(DEFERRAL_CHECK_MS, () => this.checkDeferred())
	}

	private checkDeferred(): void {
		const { clock, canReport } = this.parts
		const now = clock.now()
		const isLeaderKnown = canReport()
		const { deferred } = this
		this.deferred = deferred.filter(({ at }) => !isLeaderKnown && now - at < MAX_DEFERRAL_MS)
		if (this.deferred.length > 0) this.scheduleDeferralCheck()
		for (const { heartbeat, at, done } of deferred) {
			if (isLeaderKnown) this.add(heartbeat, at)
			if (isLeaderKnown || now - at >= MAX_DEFERRAL_MS) done(isLeaderKnown)
		}
	}

	/** Adds a heartbeat to the next batch, unless a later one of its worker is in it. */
	private add(heartbeat: Heartbeat, at: number): void {
		const pending = this.pending.get(heartbeat.worker.id)
		if (pending && pending.heartbeat.sequence > heartbeat.sequence) return
		this.pending.set(heartbeat.worker.id, { heartbeat, at })
		this.scheduleFlush()
	}

	/** Whether a heartbeat only confirms a worker as this replica knows it. */
	private isRoutine({ worker, draining }: Heartbeat): boolean {
		const { workers } = this.parts
		const known = workers.find(worker.id)
		if (!known || draining || known.draining) return false
		return workers.findByAddress(worker.address) === known && isSameWorker(known.worker, worker)
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

	/**
	 * Queues heartbeats again whose report had an unknown outcome; newer ones of the same worker
	 * replace them.
	 */
	private requeue(batch: HeartbeatBatcher['pending'], since: number): void {
		this.unansweredSince ??= since
		for (const [worker, entry] of batch) {
			if (!this.pending.has(worker)) this.pending.set(worker, entry)
		}
		this.scheduleFlush()
	}
}
