/** A worker as the leader's controller sees it. */
import type { Worker } from '../../records/Cell'
import type { CountedRun } from '../../accounts/AccountUsage'
import type { Lease } from './Lease'
import { LivenessProof } from './LivenessProof'
import type { Run } from '../runs/Run'

/** A run that was given up early: what it takes is not known until the worker has stopped it. @internal */
export interface SuspectRun {
	readonly attempt: number
	/** What it counts as against its account's quota; undefined for no account. */
	readonly counted: CountedRun | undefined
	/** Whether an order to stop it is under way. */
	busy: boolean
	/** When the worker said that it will not run any more, on the leader's clock. */
	stoppedAt?: number
}

/** Milliseconds for which a reading of a worker's clock tells the age of a heartbeat: at 2% of drift it errs by 0.2 s then. */
const READING_HOLDS = 10_000

/** A worker as the controller sees it. @internal */
export class WorkerView {
	draining = false
	/** When its latest heartbeat came, on the leader's clock. */
	heartbeatAt: number
	/** What its own clock showed in its latest answer, and when that came; absent before. */
	clockRead: { readonly value: number; readonly at: number } | undefined
	/** What its own clock showed when it sent that; absent when it did not tell. */
	heartbeatClock: number | undefined
	/** Number of its latest heartbeat. */
	sequence = 0
	/** Whether the latest order or poll got no answer. */
	unreachable = false
	/** When it was found unreachable, on the leader's clock. */
	lostAt = Number.NEGATIVE_INFINITY
	/** When its latest list came, on the leader's clock. */
	listedAt = Number.NEGATIVE_INFINITY
	/** Until when this life was certainly there. */
	readonly liveness = new LivenessProof()
	/** When runs were last given up on it while it was silent, on the leader's clock. */
	gaveUpAt = Number.NEGATIVE_INFINITY
	/** When it last answered, on the leader's clock. */
	answeredAt = Number.NEGATIVE_INFINITY
	/** Runs that were given up although they may still be there, or may yet begin, by task name. */
	readonly suspects = new Map<string, SuspectRun>()
	/** Whether a short poll is under way that only asks whether it is there. */
	probing = false
	/** When it may be probed next. */
	probeDue = 0
	/** Runs that are on it, by task name. */
	readonly runs = new Map<string, Run>()
	/** Ends up to this number are committed. */
	endsCommitted = 0
	/** Ends up to this number are committed or on their way there. */
	endsProposed = 0
	/** The highest number of an end that was listed again while its run was still counted as going on. */
	endsPassedOver = 0
	/** Whether this leader knows what it lists; until then it may have runs that nobody counts. */
	listed = false
	/** When it was last polled or probed while its state was unknown, on the leader's clock. */
	askedAt = Number.NEGATIVE_INFINITY
	/** Whether a poll is under way. */
	polling = false
	/** When it may be polled next. */
	pollDue = 0
	/** Whether it is being noted that it answers again. */
	noting = false
	/** Whether this leader has heard of it. */
	heard = false
	/** Whether it said that it has ended; what it ran counts as ended once its lease is over. */
	left = false
	/** Whether it counts as ended and only what must come before that, or its commit, is awaited: nothing is ordered there. */
	givenUp = false
	/** Its speed as a share of the median worker's; 1 unless speeds are known and differ much. */
	speed = 1
	/** When it will have left, where it said so; on the leader's clock. */
	leavesAt = Number.POSITIVE_INFINITY

	/**
	 * @param worker - its description.
	 * @param lease - its lease.
	 * @param fence - token of all orders to it, above those of any life of a worker that was learned of before.
	 * @param now - counted as heard of now, since earlier leaders' heartbeats are not known.
	 */
	constructor(
		public worker: Worker,
		readonly lease: Lease,
		readonly fence: number,
		now: number
	) {
		this.heartbeatAt = now
	}

	/** @returns milliseconds since it sent its latest heartbeat, which a cut may have held back, as far as its clock is known. */
	silence(now: number): number {
		const since = now - this.heartbeatAt
		const { clockRead, heartbeatClock } = this
		if (!clockRead || heartbeatClock === undefined || now - clockRead.at > READING_HOLDS)
			return since
		return Math.max(since, clockRead.value + (now - clockRead.at) - heartbeatClock)
	}

	/**
	 * Ends up to which number the worker may forget. Its next life would forget its own first ends, which nobody has heard of, so ends are named only
	 * just after a list of the life that is meant: the next one can't have ended anything by then.
	 */
	endsSeen(now: number): number {
		const proven = this.worker.born === undefined || this.liveness.isValid(now)
		return proven ? this.endsCommitted : 0
	}

	/** The worker's id. */
	get id(): string {
		return this.worker.id
	}
}
