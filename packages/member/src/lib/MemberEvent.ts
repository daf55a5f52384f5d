/** The log events of an instance. */

/** Events of an instance. @public */
export const MemberEvent = {
	/** The process serves; its `link`, whether it is `founding` the cell, its `seeds`, and how long it `took`, milliseconds. */
	Started: 'started',
	/** The process stops as planned; `reason`, `calls` in flight. */
	Stopping: 'stopping',
	/** The settings were read again; `outcome`, new `seeds` or the `findings` that speak against them. */
	Reloaded: 'reloaded',
	/** A link to a peer is up; `peer`. */
	PeerRegained: 'peer-regained',
	/** A link to a peer is down; `peer`. */
	PeerLost: 'peer-lost',
	/** An instance did not carry orders to workers for this leader, which gives them itself for now; `peer`, `reason`, `orders`. */
	CarrierLost: 'carrier-lost',
	/** Orders of a leader were held up on their way here and are not carried; `peer`, `orders`, for how long they were `heldUp`, milliseconds. */
	OrdersDropped: 'orders-dropped',
	/** The leader does not answer what is told of workers, so their heartbeats are refused here (`active`), or no longer. */
	HeartbeatsRefused: 'heartbeats-refused',
	/** The leader gives an instance more or fewer orders to carry; `peer`, the share of its workers that it has `kept`, its `loopDelay` and the `age` of that, milliseconds. */
	CarrierWeightChanged: 'carrier-weight-changed',
	/** An entry instance sends new connections elsewhere (`active`), or no longer; `delay` of its event loop in milliseconds, `calls` under way. */
	SheddingChanged: 'shedding-changed',
	/** Another instance leads, or none is known; `leader`, `term`. */
	LeaderChanged: 'leader-changed',
	/** The members of the core have changed; `members`, a question mark behind those that do not vote. */
	MembersChanged: 'members-changed',
	/** What the disk held was torn or damaged; `ending`. */
	LogRepaired: 'log-repaired',
	/** A call failed or took long; `call`, `path`, `outcome`, `reason`, `took` milliseconds, `tries`, `leader` and `term` as known here. */
	CallAnswered: 'call-answered',
	/** A call asks for nothing that can be done; `path`, `status`, `reason`. */
	CallRefused: 'call-refused',
	/** Messages of a peer could not be read, and were passed over; `peer`, how many `messages` since the last such line. */
	MessagesUnreadable: 'messages-unreadable',
	/** Handling a call failed by a fault of this program; `call`, `reason`. The same call is not handled again here. */
	CallFaulty: 'call-faulty',
	/** The process can't go on; `reason`. */
	Failed: 'failed',
} as const
/** One of the events. @public */
export type MemberEvent = (typeof MemberEvent)[keyof typeof MemberEvent]
