/**
 * Keeps for the next leader which workers this one has not heard of, or no more. A worker that is cut off may offer less when
 * it is back, and only its heartbeat tells: a leader that takes over has heard none yet, and may rely only on what
 * its predecessor had heard.
 */
import type { LeaderContext } from '../LeaderContext'
import type { WorkerView } from './WorkerView'

/** Milliseconds between two notes, so that the heartbeats after a change of leader are noted in a few commands. */
const RECORD_INTERVAL_MS = 200

/**
 * Notes of silent workers.
 *
 * @internal
 */
export class SilentWorkerRecorder {
	private dueAt = Number.NEGATIVE_INFINITY
	/** Notes that are on their way to being committed. */
	private pending = 0

	constructor(private readonly context: LeaderContext) {}

	/** Notes what has changed since the last time. */
	tick(views: Iterable<WorkerView>, now: number): void {
		if (now < this.dueAt || this.pending > 0) return
		this.dueAt = now + RECORD_INTERVAL_MS
		const { state, timing } = this.context
		const changed: { readonly [silent in 'true' | 'false']: string[] } = { true: [], false: [] }
		for (const view of views) {
			const known = state.workers.find(view.id)
			const silent = !view.heard || view.silence(now) > timing.workerQuiet
			if (known && silent !== (known.silent ?? false)) changed[`${silent}`].push(view.id)
		}
		this.propose(changed.true, true)
		this.propose(changed.false, false)
	}

	private propose(workers: readonly string[], silent: boolean): void {
		if (workers.length === 0) return
		this.pending += 1
		this.context.proposals.propose({ kind: 'silent', workers, silent }, () => (this.pending -= 1))
	}
}
