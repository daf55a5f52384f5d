/** The log events of the desk: one for each decision that touches a job or changes what it believes. */

/** Events of the desk. @public */
export const DeskEvent = {
	/** This instance leads; `term`, `jobs`, `workers`, `configuration`. */
	LeadershipGained: 'leadership-gained',
	/** This instance leads no longer; `term`. */
	LeadershipLost: 'leadership-lost',
	/** A worker's first heartbeat; `worker`, `address`, `dataCentre`. */
	WorkerJoined: 'worker-joined',
	/** A worker says that it is leaving; `worker`, `remaining` milliseconds. */
	WorkerDraining: 'worker-draining',
	/** An incarnation of a worker has ended; `worker`, `reason`. */
	WorkerGone: 'worker-gone',
	/** A worker stopped answering; `worker`, `address`, `reason`. */
	WorkerLost: 'worker-lost',
	/** A worker answers again; `worker`. */
	WorkerRegained: 'worker-regained',
	/** Runs were given up since their worker's lease is over; `worker`, `runs`. */
	RunsLost: 'runs-lost',
	/** A job is accepted; `job`, `queue`, `steps`, `tasks`, `configuration`. */
	JobAccepted: 'job-accepted',
	/** A job is not accepted; `job`, `reason`. */
	JobRefused: 'job-refused',
	/** A job has reached its last state; `job`, `state`, `took` milliseconds. */
	JobEnded: 'job-ended',
	/** Runs of a step begin; `step`, `runs`, `waited` milliseconds, `workers`. */
	StepPlaced: 'step-placed',
	/** A run ended; `task`, `attempt`, `worker`, `how`. */
	RunEnded: 'run-ended',
	/** A worker refused an order; `task`, `attempt`, `worker`, `reason`. */
	OrderRefused: 'order-refused',
	/** Advice is asked; `step`, `workers`, `via`. */
	AdviceAsked: 'advice-asked',
	/** Advice came; `step`, `good`, `asked`, `took` milliseconds. */
	AdviceCame: 'advice-came',
	/** A configuration is in force; `configuration`, `queues`. */
	ConfigurationApplied: 'configuration-applied',
	/** A configuration is refused; `findings`. */
	ConfigurationRefused: 'configuration-refused',
	/** Best-effort runs are slowed or let go on; `task`, `worker`, `percent`, `tail`, `target`. */
	RunPaced: 'run-paced',
} as const
/** One of the events. @public */
export type DeskEvent = (typeof DeskEvent)[keyof typeof DeskEvent]
