/**
 * The log events of the controller: one for each decision about a job and each change of its view
 * of the cell.
 */

/** Events of the controller. @public */
export const LeaderEvent = {
	/**
	 * This instance became leader of `term`; the `jobs` and `runs` that it restored, the
	 * `configuration` in force.
	 */
	LeadershipGained: 'leadership-gained',
	/** This instance is no longer leader of `term`. */
	LeadershipLost: 'leadership-lost',
	/** First heartbeat of a worker; `worker`, `address`, `dataCentre`. */
	WorkerJoined: 'worker-joined',
	/** A worker announced that it is leaving; `worker`, `remaining` milliseconds. */
	WorkerDraining: 'worker-draining',
	/**
	 * An incarnation of a worker has ended; `worker`, `reason`, the number of `runs` on it and the
	 * first of their `tasks`, and the milliseconds for which it had sent nothing (`silent`).
	 */
	WorkerGone: 'worker-gone',
	/**
	 * A worker stopped answering; `worker`, `address`, `dataCentre`, `reason`, `runs` on it,
	 * `heartbeatAge` and `leaseLeft` in milliseconds.
	 */
	WorkerLost: 'worker-lost',
	/**
	 * Another incarnation of a worker answers in its place; the earlier `worker` and the number of
	 * `runs` on it.
	 */
	WorkerRestarted: 'worker-restarted',
	/**
	 * A worker counts as crashed for the tasks whose runs on it were abandoned, until it answers;
	 * `worker`, the milliseconds for which it has been unreachable (`silent`).
	 */
	WorkerPresumedCrashed: 'worker-presumed-crashed',
	/**
	 * A `worker` fails what it starts and gets no new work but probes; the last failed `task` and
	 * `attempt`, the milliseconds for which it is closed (`pause`).
	 */
	WorkerClosed: 'worker-closed',
	/** The `task` of a run is started on a closed `worker` as a probe. */
	WorkerProbed: 'worker-probed',
	/** A `worker` that was closed has passed its probes. */
	WorkerReopened: 'worker-reopened',
	/** A `worker` that was lost answers again. */
	WorkerRegained: 'worker-regained',
	/**
	 * A worker lists ended runs whose numbers are not above the highest number `taken` from it
	 * before, while their runs still count as running there; `worker`, the `first` and `last` of
	 * those numbers. Logged once for each last number.
	 */
	EndsPassedOver: 'ends-passed-over',
	/**
	 * A heartbeat is ignored because it is older than one already processed; `worker`, its `number`,
	 * the number `taken` before. Debug level.
	 */
	HeartbeatPassedOver: 'heartbeat-passed-over',
	/**
	 * A heartbeat under the name of a known worker is ignored because it names another service or
	 * location, or no incarnation; `worker`, `service`, `address`. Debug level.
	 */
	EntryPassedOver: 'entry-passed-over',
	/**
	 * Runs were abandoned because the lease expired or their steps allow copies; `worker`, `runs`,
	 * `reason`.
	 */
	RunsLost: 'runs-lost',
	/**
	 * A job is accepted; `job`, `queue`, its `account`, whether the submission was `beyondRate`, the
	 * `configuration` in force, the job's shape (`steps`, `tasks`, largest `cpu` and `accelerators`
	 * of a task, `gang`), and its `objective`: the milliseconds that it may take according to the
	 * times it declares.
	 */
	JobAccepted: 'job-accepted',
	/**
	 * A call was rejected because it carries no key of an account; `queue`, `job`, the
	 * `configuration` in force.
	 */
	CallerUnknown: 'caller-unknown',
	/** A job was refused; `job`, its `account`, `reason`, the number of `jobs` that are kept. */
	JobRefused: 'job-refused',
	/**
	 * A job reached its final state; `job`, `state`, `took` milliseconds, its `objective` in
	 * milliseconds.
	 */
	JobEnded: 'job-ended',
	/**
	 * Runs of a step start; `step`, `priority`, `runs`, the number of tasks still `waiting`,
	 * `waited` milliseconds since the steps before it were done, the number of `questions` for
	 * advice and after how many of these milliseconds the first was answered (`advised`, 0 for
	 * before), the milliseconds that it waited for each cause (`waits`), `workers` with their
	 * counts, and the `configuration` and `term` of the decision.
	 */
	StepPlaced: 'step-placed',
	/**
	 * The job of a step ended while tasks of the step were still `waiting` to start; `step`,
	 * `priority`, the milliseconds that it had `waited`, and for each cause (`waits`).
	 */
	StepDropped: 'step-dropped',
	/**
	 * Tickets are requested so that all members of a gang can start at the same time; `step`, the
	 * number of `members` and of `workers` for them, the number of these and other workers whose
	 * tickets are `renewed`, and how many milliseconds `ahead` the planned start is.
	 */
	GangPlanned: 'gang-planned',
	/**
	 * An attempt to start a gang was abandoned before all members were present; `step`, `attempt`,
	 * the number of `members`, `reason` and `detail`, the `task` and `worker` that prevented the
	 * start if there was one, the milliseconds for which the others had `gathered`, and the
	 * `missing` members.
	 */
	GangGivenUp: 'gang-given-up',
	/**
	 * The policy of a step's queue allows none of the open workers of its service, so the step waits
	 * for others to join; `step`, `priority`, the number of those `workers`. Logged once for each
	 * step.
	 */
	StepBarred: 'step-barred',
	/**
	 * A step still waits although it had to start by now for its job to meet its target; `step`,
	 * `priority`, tasks that are `waiting`, `waited` milliseconds, `reason`, what ends the wait
	 * (`until`). Logged once for each step.
	 */
	StepOverdue: 'step-overdue',
	/**
	 * A step has waited for more than 5 s although there is capacity for it and neither a quota nor
	 * its queue's policy prevents it; the fields of `step-overdue`. Logged once for each step.
	 */
	StepWaitsLong: 'step-waits-long',
	/**
	 * No task of another job starts on a `worker` until an isolated task of a step (`for`) has started
	 * there; the number of `runs` there. Ends by itself after 1 s without need.
	 */
	WorkerCordoned: 'worker-cordoned',
	/**
	 * The reconciliation found a `step` with startable tasks that no change had reported. It is
	 * tried now.
	 */
	WorkMissed: 'work-missed',
	/**
	 * A worker crashed while it ran a task; `task`, `worker`, how strongly that points to the task
	 * (`evidence`), the number of `crashes` so far, and the resulting `suspicion`.
	 */
	TaskSuspected: 'task-suspected',
	/**
	 * A task that crashes its workers is not started again, so its job has failed; `task`, the
	 * `workers`.
	 */
	TaskGivenUp: 'task-given-up',
	/**
	 * A run ended other than as done; `task`, `attempt`, `worker`, `how`, the `phase` that it was
	 * in, the milliseconds that it `ran`, the `cause`, and the processor seconds of work that were
	 * `wasted`.
	 */
	RunEnded: 'run-ended',
	/**
	 * A run is preempted; `task`, `attempt`, `worker`, `percent` that it had done, and the step of
	 * the highest priority that it makes way `for`.
	 */
	RunPreempted: 'run-preempted',
	/**
	 * A run is not started because its account's quota was reduced, its worker's capacity shrank or
	 * the worker's heartbeats are missing; `task`, `attempt`, `worker`, `reason`, `account`.
	 */
	RunWithdrawn: 'run-withdrawn',
	/**
	 * A stalled run is moved to another worker; `task`, `attempt`, `worker`, `percent` that it had
	 * done.
	 */
	RunMoved: 'run-moved',
	/** Runs are stalled on a worker that answers, so it gets no new work for now; `worker`, `runs`. */
	WorkerStalled: 'worker-stalled',
	/**
	 * Whether the leader takes the speeds of workers into account has changed; `reason` (`differ`,
	 * `alike`, `few-known`), the `share` of the median speed at which the slowest quarter works, the
	 * number of `workers`.
	 */
	SpeedsHeeded: 'speeds-heeded',
	/**
	 * A worker is much slower than the median; `worker`, its `speed` as a share of the median, the
	 * standard `error` of the logarithm of the speed, `evidence` in tasks, the `age` of the latest
	 * in milliseconds.
	 */
	WorkerSlow: 'worker-slow',
	/**
	 * A worker no longer counts as slow; the fields of `worker-slow`, without those that are no
	 * longer known.
	 */
	WorkerNotSlow: 'worker-not-slow',
	/** A worker refused an order; `task`, `attempt`, `worker`, `reason`, the `order`. */
	OrderRefused: 'order-refused',
	/**
	 * A client account uses more of a service than its share while others wait for capacity, so its
	 * waiting work is ordered after theirs; `account`, `service`, its `share` of the capacity, the
	 * part it has `held` now and `had` on average recently (each from 0 to 1), the number of
	 * accounts that wait there (`contenders`), the milliseconds for which this leader has `observed`
	 * the use.
	 */
	ShareExceeded: 'share-exceeded',
	/**
	 * The account is within its share again, or no other account waits; the fields of
	 * `share-exceeded`.
	 */
	ShareRegained: 'share-regained',
	/** Advice is requested; `step`, `workers`. Debug level. */
	AdviceAsked: 'advice-asked',
	/**
	 * Advice arrived, or failed with `outcome` and `reason`; `step`, the number of `good` workers
	 * out of those `asked`, `took` milliseconds.
	 */
	AdviceCame: 'advice-came',
	/**
	 * The limit of concurrent starts changed because the cell is behind with its starts or catches
	 * up; the limit (`most`, absent for none), the upper median `delay` of the starts and its
	 * `bound` in milliseconds, the number of concurrent `starts`.
	 */
	StartWindowChanged: 'start-window-changed',
	/**
	 * The share of new jobs that are accepted changed because the leader's event loop is overloaded
	 * or recovers; the `share` from 0 to 1, the `delay` of the event loop in milliseconds.
	 */
	AdmissionChanged: 'admission-changed',
	/** A configuration took effect; `configuration`, the numbers of its `queues` and `accounts`. */
	ConfigurationApplied: 'configuration-applied',
	/**
	 * A best-effort run is throttled or resumed; `task`, `worker`, `percent` of its full speed,
	 * `pressure`: the worst tail latency on the worker as a share of its target.
	 */
	RunPaced: 'run-paced',
} as const
/** An event of the controller. @public */
export type LeaderEvent = (typeof LeaderEvent)[keyof typeof LeaderEvent]
