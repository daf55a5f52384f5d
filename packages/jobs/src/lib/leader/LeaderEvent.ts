/** The log events of the controller: one for each decision that touches a job or changes what it believes. */

/** Events of the controller. @public */
export const LeaderEvent = {
	/** This instance leads; `term`, `jobs` and `runs` that it takes up, `configuration` in force. */
	LeadershipGained: 'leadership-gained',
	/** This instance leads no longer; `term`. */
	LeadershipLost: 'leadership-lost',
	/** A worker's first heartbeat; `worker`, `address`, `dataCentre`. */
	WorkerJoined: 'worker-joined',
	/** A worker says that it is leaving; `worker`, `remaining` milliseconds. */
	WorkerDraining: 'worker-draining',
	/**
	 * An incarnation of a worker has ended; `worker`, `reason`, how many `runs` were on it and the first of their `tasks`,
	 * for how many milliseconds it had been `silent`.
	 */
	WorkerGone: 'worker-gone',
	/**
	 * A worker stopped answering; `worker`, `address`, `dataCentre`, `reason`, `runs` on it,
	 * `heartbeatAge` and `leaseLeft` in milliseconds.
	 */
	WorkerLost: 'worker-lost',
	/** Another life of a worker answers in its place; `worker`, the earlier one, and how many `runs` were on it. */
	WorkerRestarted: 'worker-restarted',
	/** A worker answers again; `worker`. */
	WorkerRegained: 'worker-regained',
	/**
	 * A worker lists ends whose numbers are not above those that were `taken` from it before, while their runs are still counted as going on there;
	 * `worker`, the `first` and `last` of those numbers. Once for each last number.
	 */
	EndsPassedOver: 'ends-passed-over',
	/** A worker's heartbeat is older than one that was taken; `worker`, its `number`, the number `taken`. Debug level. */
	HeartbeatPassedOver: 'heartbeat-passed-over',
	/**
	 * An entry under the name of a known worker says something else of its service or place, or not which life it is of, and is not
	 * taken in; `worker`, `service`, `address`. Debug level.
	 */
	EntryPassedOver: 'entry-passed-over',
	/** Runs were given up; `worker`, `runs`, `reason`: the lease is over, or copies are allowed. */
	RunsLost: 'runs-lost',
	/**
	 * A job is accepted; `job`, `queue`, its `account`, whether the account sent it `beyondRate`, `configuration` in force, its shape (`steps`, `tasks`, most `cpu` and
	 * `accelerators` of a task, `gang`), and its `objective`: milliseconds that it may take by the times it declares.
	 */
	JobAccepted: 'job-accepted',
	/** A call showed no key that an account holds, and was not served; `queue`, `job`, `configuration` in force. */
	CallerUnknown: 'caller-unknown',
	/** A job is not accepted; `job`, its `account`, `reason`, how many `jobs` there are. */
	JobRefused: 'job-refused',
	/** A job has reached its last state; `job`, `state`, `took` milliseconds, its `objective` of as many. */
	JobEnded: 'job-ended',
	/**
	 * Runs of a step begin; `step`, `priority`, `runs`, how many are still `waiting`, `waited` milliseconds
	 * since the steps before it were done, `questions` for advice and when the first was answered (`advised`,
	 * after so many of these milliseconds, 0 for before), how many milliseconds it has waited for what (`waits`), `workers` with their counts,
	 * `configuration` and `term` that it was decided in.
	 */
	StepPlaced: 'step-placed',
	/**
	 * The job of a step has ended while tasks of it still were `waiting` to begin; `step`, `priority`, for how many milliseconds it had `waited`, and
	 * for what (`waits`).
	 */
	StepDropped: 'step-dropped',
	/**
	 * Tickets are asked for so that a whole gang can begin at one moment; `step`, how many `members`, on how many `workers`, of how many of
	 * these and others the tickets are `renewed`, and the planned moment: so many milliseconds `ahead`.
	 */
	GangPlanned: 'gang-planned',
	/**
	 * An attempt to begin a gang is given up before all of its members were there; `step`, `attempt`, how many `members`, `reason` and `detail`, the
	 * `task` and `worker` that kept it from beginning where it was one, for how many milliseconds the others had `gathered`, and which members were
	 * `missing`.
	 */
	GangGivenUp: 'gang-given-up',
	/**
	 * The policy of a step's queue allows none of the open workers of its service, `workers` of them: it waits for others
	 * to join; `step`, `priority`. Once for each step.
	 */
	StepBarred: 'step-barred',
	/**
	 * A step still waits although it had to begin by now for its job to be in time; `step`, `priority`, tasks that
	 * are `waiting`, `waited` milliseconds, `reason`, what ends the wait (`until`). Once for each step.
	 */
	StepOverdue: 'step-overdue',
	/**
	 * A step has waited for more than 5 s though there is room for it and neither a quota nor its queue's policy keeps it; the fields of
	 * `step-overdue`. Once for each step.
	 */
	StepWaitsLong: 'step-waits-long',
	/** A look at what is replicated found a `step` with tasks to begin that no change had told of. It is tried. */
	WorkMissed: 'work-missed',
	/**
	 * A worker crashed under a task; `task`, `worker`, what that says of the task (`evidence`), how many `crashes` that makes,
	 * and its `suspicion` from now on.
	 */
	TaskSuspected: 'task-suspected',
	/** A task crashes its workers and begins no more, so its job has failed; `task`, the `workers`. */
	TaskGivenUp: 'task-given-up',
	/**
	 * A run ended, not as done; `task`, `attempt`, `worker`, `how`, the `phase` that it was in, for `ran` milliseconds, the `cause` and how many
	 * processor seconds of its work were `wasted`.
	 */
	RunEnded: 'run-ended',
	/**
	 * A run is stopped to make room; `task`, `attempt`, `worker`, `percent` that it had done, `for` which step of
	 * the highest priority.
	 */
	RunPreempted: 'run-preempted',
	/**
	 * A run is not begun since its account's quota was cut, or its worker's room has shrunk or its heartbeats stay away; `task`, `attempt`, `worker`,
	 * `reason`, `account`.
	 */
	RunWithdrawn: 'run-withdrawn',
	/** A run is moved since it stands still; `task`, `attempt`, `worker`, `percent` that it had done. */
	RunMoved: 'run-moved',
	/** Runs stand still on a worker that answers, so it gets nothing new for now; `worker`, `runs`. */
	WorkerStalled: 'worker-stalled',
	/**
	 * Whether the leader heeds the speeds of workers has changed; `reason` (`differ`, `alike`, `few-known`), the `share` of the median speed that
	 * the slowest quarter works at, `workers`.
	 */
	SpeedsHeeded: 'speeds-heeded',
	/**
	 * A worker is much slower than the median one; `worker`, its `speed` as a share of the median, the standard `error` of its logarithm,
	 * `evidence` in tasks, the `age` of the latest in milliseconds.
	 */
	WorkerSlow: 'worker-slow',
	/** A worker is no longer called slow; the fields of `worker-slow`, without those that nothing is known of any more. */
	WorkerNotSlow: 'worker-not-slow',
	/** A worker refused an order; `task`, `attempt`, `worker`, `reason`, the `order`. */
	OrderRefused: 'order-refused',
	/**
	 * A client account has more of a service than its share while others wait for room, so its waiting work goes behind theirs; `account`,
	 * `service`, its `share` of the room, what it has `held` now and `had` on the mean of late (each from 0 to 1), how many accounts wait
	 * there (`contenders`), for how many milliseconds this leader has `observed` that itself.
	 */
	ShareExceeded: 'share-exceeded',
	/** The account is within its share again, or nobody else waits; the fields of `share-exceeded`. */
	ShareRegained: 'share-regained',
	/** Advice is asked; `step`, `workers`. Debug level. */
	AdviceAsked: 'advice-asked',
	/** Advice came, or with `outcome` and `reason` it did not; `step`, `good`, `asked`, `took` milliseconds. */
	AdviceCame: 'advice-came',
	/**
	 * The cell is behind with its starts, or catches up, so another number of them may be under way; `most` of them, absent for no bound, the `delay`
	 * that half of them took at least, its `bound`, in milliseconds, and how many are under way (`starts`).
	 */
	StartWindowChanged: 'start-window-changed',
	/** A configuration is in force; `configuration`, how many `queues` and `accounts` it has. */
	ConfigurationApplied: 'configuration-applied',
	/**
	 * A best-effort run is slowed or let go on; `task`, `worker`, `percent` of its speed, `pressure`: the worst
	 * tail latency there as a share of its target.
	 */
	RunPaced: 'run-paced',
} as const
/** One of the events. @public */
export type LeaderEvent = (typeof LeaderEvent)[keyof typeof LeaderEvent]
