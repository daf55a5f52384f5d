/** The log events of an instance. */

/** Events of an instance, with their log fields in backticks. @public */
export const MemberEvent = {
	/**
	 * The process has started to serve; its `link`, whether it is `founding` the cell, its `seeds`,
	 * and how long the start `took`, milliseconds.
	 */
	Started: 'started',
	/** A planned stop of the process starts; `reason`, `calls` in flight. */
	Stopping: 'stopping',
	/**
	 * The settings were reloaded; `outcome`, the new `seeds`, or the `findings` for which they were
	 * rejected.
	 */
	Reloaded: 'reloaded',
	/** A link to a peer is up; `peer`. */
	PeerRegained: 'peer-regained',
	/** A link to a peer is down; `peer`. */
	PeerLost: 'peer-lost',
	/**
	 * An instance failed to carry orders to workers for this leader, which sends them itself for
	 * now; `peer`, `reason`, `orders`.
	 */
	CarrierLost: 'carrier-lost',
	/**
	 * Orders of a leader were delayed on their way here and are dropped; `peer`, `orders`, for how
	 * long they were `heldUp`, milliseconds.
	 */
	OrdersDropped: 'orders-dropped',
	/**
	 * Heartbeats of workers are refused here (`active`), since the leader does not answer reports
	 * of them, or are accepted again.
	 */
	HeartbeatsRefused: 'heartbeats-refused',
	/**
	 * The leader assigns an instance more or fewer workers to carry orders to; `peer`, the share of
	 * its workers that it has `kept`, its `loopDelay` and the `age` of that figure, milliseconds.
	 */
	CarrierWeightChanged: 'carrier-weight-changed',
	/**
	 * An entry instance sheds new connections (`active`), or accepts them again; `delay` of its
	 * event loop in milliseconds, `calls` in flight.
	 */
	SheddingChanged: 'shedding-changed',
	/** The leader has changed, or none is known; `leader`, `term`. */
	LeaderChanged: 'leader-changed',
	/**
	 * The members of the core have changed; `members`, with a question mark after those without a
	 * vote.
	 */
	MembersChanged: 'members-changed',
	/** The log on disk was torn or damaged, and was repaired; `ending`. */
	LogRepaired: 'log-repaired',
	/**
	 * A call failed or took long; `call`, `path`, `outcome`, `reason`, `took` milliseconds,
	 * `tries`, `leader` and `term` as known here.
	 */
	CallAnswered: 'call-answered',
	/** A call is invalid; `path`, `status`, `reason`. */
	CallRefused: 'call-refused',
	/**
	 * Messages of a peer were unreadable and were skipped; `peer`, how many `messages` since the
	 * last such line.
	 */
	MessagesUnreadable: 'messages-unreadable',
	/** The handler of a call threw; `call`, `reason`. The same call is not handled again here. */
	CallFaulty: 'call-faulty',
	/** The process ends because of a fault; `reason`. */
	Failed: 'failed',
} as const
/** The name of an event. @public */
export type MemberEvent = (typeof MemberEvent)[keyof typeof MemberEvent]
