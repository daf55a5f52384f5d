/**
 * Heartbeats of workers that bring nothing new, gathered at an instance that does not lead and told to the leader in one
 * call. Each by itself would cost the leader a call and its answer, and there are hundreds a second.
 */
import {
	isSameWorker,
	type CellReply,
	type RelayedHeartbeat,
	type Heartbeat,
	type KnownWorkers,
} from '@rillrudder/jobs'
import type { Clock } from '@rillrudder/utils'

/** Milliseconds for which heartbeats gather; a fifth of the time between two of them. */
const GATHER = 300
/** Milliseconds for which nothing is gathered after there was no leader to tell: the workers then call another instance. */
const REST = 1500
/**
 * Milliseconds for which heartbeats are gathered while a leader that is known gives no answer. It may only be busy, and is told again; it is not
 * told of each by itself, which would keep it busy. An instance that can't reach it for longer sends workers to others.
 */
const MOST_UNANSWERED = 1500

/** What becomes of a heartbeat. @internal */
export const HeartbeatFate = {
	/** The leader will be told of it with others. */
	Gathered: 'gathered',
	/** It has to be brought to the leader by itself. */
	Passed: 'passed',
	/** The leader can't be told: the worker should call another instance. */
	Refused: 'refused',
} as const
/** One of the answers. @internal */
export type HeartbeatFate = (typeof HeartbeatFate)[keyof typeof HeartbeatFate]

/** What gathering needs of its instance. @internal */
export interface GatheredHeartbeatsParts {
	/** The workers as this replica knows them. */
	readonly workers: KnownWorkers
	readonly clock: Clock
	/** Tells the leader. */
	readonly tell: (heard: readonly RelayedHeartbeat[]) => Promise<CellReply>
	/** Whether a leader is known that can be told. */
	readonly mayTell: () => boolean
	/** Told when heartbeats begin to be refused, and when they are no longer. */
	readonly refusing?: (active: boolean) => void
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
	/** Since when the leader has not answered; undefined once it has. */
	private unansweredSince: number | undefined
	private isFlushDue = false
	private isRefusing = false

	constructor(private readonly parts: GatheredHeartbeatsParts) {}

	/** Takes a heartbeat. @returns what becomes of it. */
	take(heartbeat: Heartbeat): HeartbeatFate {
		const { clock, mayTell } = this.parts
		const now = clock.now()
		if (now < this.restsUntil || !mayTell() || !this.isRoutine(heartbeat))
			return HeartbeatFate.Passed
		const unanswered = this.unansweredSince === undefined ? 0 : now - this.unansweredSince
		this.setRefusing(unanswered > MOST_UNANSWERED)
		if (this.isRefusing) return HeartbeatFate.Refused
		this.gathered.set(heartbeat.worker.id, { heartbeat, at: now })
		this.flushSoon()
		return HeartbeatFate.Gathered
	}

	/** Whether it only says that a worker is there as this replica knows it. */
	private isRoutine({ worker, draining }: Heartbeat): boolean {
		const { workers } = this.parts
		const known = workers.find(worker.id)
		if (!known || draining || known.draining) return false
		return workers.findByAddress(worker.address) === known && isSameWorker(known.worker, worker)
	}

	private setRefusing(active: boolean): void {
		if (active === this.isRefusing) return
		this.isRefusing = active
		this.parts.refusing?.(active)
	}

	private flushSoon(): void {
		if (this.isFlushDue) return
		this.isFlushDue = true
		this.parts.clock.after(GATHER, () => void this.flush())
	}

	private async flush(): Promise<void> {
		const { clock, tell } = this.parts
		const now = clock.now()
		const told = this.gathered
		this.gathered = new Map()
		this.isFlushDue = false
		const heard = [...told.values()].map(({ heartbeat, at }) => ({
			worker: heartbeat.worker.id,
			sequence: heartbeat.sequence,
			clock: heartbeat.clock,
			age: now - at,
		}))
		const { kind } = await tell(heard)
		if (kind === 'unknown') this.tellAgain(told, now)
		else this.unansweredSince = undefined
		if (kind === 'not-run') this.restsUntil = clock.now() + REST
	}

	/** Nothing is known of what became of heartbeats: they are told again with those that have come since. */
	private tellAgain(told: GatheredHeartbeats['gathered'], since: number): void {
		this.unansweredSince ??= since
		for (const [worker, entry] of told) {
			if (!this.gathered.has(worker)) this.gathered.set(worker, entry)
		}
		this.flushSoon()
	}
}
