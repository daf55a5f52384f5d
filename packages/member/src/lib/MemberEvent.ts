/** The log events of an instance. */

/** Events of an instance. @public */
export const MemberEvent = {
	/** The process serves; its settings. */
	Started: 'started',
	/** The process stops as planned; `reason`. */
	Stopping: 'stopping',
	/** The settings were read again; what changed. */
	Reloaded: 'reloaded',
	/** A link to a peer is up; `peer`. */
	PeerRegained: 'peer-regained',
	/** A link to a peer is down; `peer`. */
	PeerLost: 'peer-lost',
	/** Another instance leads, or none is known; `leader`, `term`. */
	LeaderChanged: 'leader-changed',
	/** The members of the core have changed; `members`, `voters`. */
	MembersChanged: 'members-changed',
	/** What the disk held was torn or damaged; `ending`. */
	LogRepaired: 'log-repaired',
	/** A call failed or took long; `call`, `path`, `outcome`, `reason`, `took` milliseconds, `tries`, `leader`. */
	CallAnswered: 'call-answered',
	/** The process can't go on; `reason`. */
	Failed: 'failed',
} as const
/** One of the events. @public */
export type MemberEvent = (typeof MemberEvent)[keyof typeof MemberEvent]
