/** The leader's view of a worker. */
import type { Worker } from '../../records/Cell'
import type { CountedRun } from '../../accounts/AccountUsage'
import type { Lease } from './Lease'
import { LivenessProof } from './LivenessProof'
import type { Run } from '../runs/Run'

/**
 * A run that was abandoned early; its resource use is unknown until the worker has stopped it.
 * @internal
 */
export interface SuspectRun {
	readonly attempt: number
	/** Its usage as counted against its account's quota; undefined without an account. */
	readonly counted: CountedRun | undefined
	/** Whether an order to stop it is under way. */
	isStopping: boolean
	/** When the worker confirmed that it will not run any more, on the leader's clock. */
	stoppedAt?: number
}

/**
 * How long a reading of a worker's clock may be used for the age of a heartbeat: at 2% drift its
 * error is 0.2 s by then.
 */
const CLOCK_READING_VALID_MS = 10_000

/** The leader's view of one incarnation of a worker. @internal */
export class WorkerView {
	isDraining = false
	/** When its latest heartbeat arrived, on the leader's clock. */
	heartbeatAt: number
	/** Reading of its own clock in its latest answer, and when that arrived; undefined before. */
	clockReading: { readonly value: number; readonly at: number } | undefined
	/**
	 * Reading of its own clock when it sent its latest heartbeat; undefined when it was not reported.
	 */
	heartbeatClock: number | undefined
	/** Sequence number of its latest heartbeat. */
	sequence = 0
	/** Whether the latest order or poll got no answer. */
	isUnreachable = false
	/** When it was found unreachable, on the leader's clock. */
	lostAt = Number.NEGATIVE_INFINITY
	/** When its latest list of runs arrived, on the leader's clock. */
	listedAt = Number.NEGATIVE_INFINITY
	/** Until when this incarnation was certainly alive. */
	readonly liveness = new LivenessProof()
	/** When runs on it were last abandoned while it was unreachable, on the leader's clock. */
	runsAbandonedAt = Number.NEGATIVE_INFINITY
	/** When it last answered, on the leader's clock. */
	answeredAt = Number.NEGATIVE_INFINITY
	/**
	 * Runs that were abandoned although they may still be running, or may yet start, by task name.
	 */
	readonly suspects = new Map<string, SuspectRun>()
	/** Whether a probe is under way. */
	isProbing = false
	/** When it may be probed next, on the leader's clock. */
	probeDueAt = 0
	/** Runs placed on it, by task name. */
	readonly runs = new Map<string, Run>()
	/** Ends up to this number are committed. */
	endsCommitted = 0
	/** Ends up to this number are committed or proposed. */
	endsProposed = 0
	/** The highest number of an end that was listed again while its run still counted as running. */
	endsPassedOver = 0
	/**
	 * Whether this leader has received its list of runs; until then it may have runs that are not
	 * counted.
	 */
	isListed = false
	/** When it was last polled or probed while its state was unknown, on the leader's clock. */
	lastAskedAt = Number.NEGATIVE_INFINITY
	/** Whether a poll is under way. */
	isPolling = false
	/** When it may be polled next, on the leader's clock. */
	pollDueAt = 0
	/** Whether a proposal is pending that records that it answers again. */
	isRecordingAnswer = false
	/** Whether this leader has received a heartbeat of it. */
	hasHeartbeat = false
	/** Whether it announced its end; its runs count as ended once its lease is over. */
	hasLeft = false
	/**
	 * Whether it is about to be removed: only prerequisites of that or its commit are pending, and
	 * nothing is ordered there.
	 */
	isEnding = false
	/** Its speed relative to the median worker's; 1 unless speeds are known and differ much. */
	speed = 1
	/** When it will have left, on the leader's clock; infinite when not announced. */
	leavesAt = Number.POSITIVE_INFINITY

	/**
	 * @param worker - its description.
	 * @param lease - its lease.
	 * @param fence - fencing token of all orders to it, above those of every incarnation learned of
	 * before.
	 * @param now - the current time; stands for its latest heartbeat, since those received by earlier
	 * leaders are unknown.
	 */
	constructor(
		public worker: Worker,
		readonly lease: Lease,
		readonly fence: number,
		now: number
	) {
		this.heartbeatAt = now
	}

	/**
	 * @returns milliseconds since it sent its latest heartbeat, by its own clock where a recent
	 * reading is known, since a partition may have delayed the heartbeat; otherwise since the
	 * heartbeat arrived.
	 */
	heartbeatAge(now: number): number {
		const since = now - this.heartbeatAt
		const { clockReading, heartbeatClock } = this
		if (
			!clockReading ||
			heartbeatClock === undefined ||
			now - clockReading.at > CLOCK_READING_VALID_MS
		)
			return since
		return Math.max(since, clockReading.value + (now - clockReading.at) - heartbeatClock)
	}

	/**
	 * The number up to which the worker may forget ends. The next incarnation would forget its own
	 * first ends, which have not been received, so ends are acknowledged only just after a list of
	 * this incarnation: the next one can't have ended a run by then.
	 */
	endsSeen(now: number): number {
		const isAlive = this.worker.born === undefined || this.liveness.isValid(now)
		return isAlive ? this.endsCommitted : 0
	}

	/** The worker's id. */
	get id(): string {
		return this.worker.id
	}
}
