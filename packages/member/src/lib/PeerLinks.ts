/** The links of an instance to its peers, the calls over them, and the view of who leads. */
import { randomUUID } from 'node:crypto'
import { LinkHub, linkSecurity, type Event } from '@rillrudder/protocol'
import type { Log, Meter } from '@rillrudder/telemetry'
import type { Clock } from '@rillrudder/utils'
import { LeaderCalls, type LocalLeader } from './LeaderCalls'
import { LeaderView } from './LeaderView'
import { LINK_SILENCE_TIMEOUT_MS, MAX_REDIAL_DELAY_MS } from './linkTiming'
import { MemberEvent } from './MemberEvent'
import { PeerCalls } from './PeerCalls'
import { callLogger } from './callLogger'

/** Dependencies of the links of an instance. @internal */
export interface PeerLinksParts {
	/** Its id; other instances dial a core instance by it. */
	readonly self: string
	/** Milliseconds for which news from peers other than the leader are accepted. */
	readonly newsTtl: number
	/** Whether calls go through relays where the core asks for it; by default they do not. */
	readonly usesRelays?: boolean
	readonly clock: Clock
	readonly log: Log
	readonly meter: Meter
	/** Handles an event from a peer. */
	readonly onEvent: (from: string, event: Event) => void
	/** Called when the link to a peer is lost. */
	readonly onPeerLost?: (peer: string) => void
	/** @returns this instance as the leader; undefined while it does not lead. */
	readonly localLeader?: () => LocalLeader | undefined
}

/**
 * The links of an instance.
 *
 * @internal
 */
export class PeerLinks {
	readonly hub: LinkHub
	/** Calls to single peers. */
	readonly calls: PeerCalls
	/** The leader, as known from the peers' news. */
	readonly view: LeaderView
	/** Calls to the current leader. */
	readonly leaderCalls: LeaderCalls

	constructor(private readonly parts: PeerLinksParts) {
		const { self, clock, log, meter, onEvent, localLeader, newsTtl, usesRelays } = parts
		this.view = new LeaderView(newsTtl, usesRelays)
		this.hub = new LinkHub({
			self,
			clock,
			...linkSecurity(undefined),
			receive: onEvent,
			changed: (peer, connected) => this.onLinkChanged(peer, connected),
			silence: LINK_SILENCE_TIMEOUT_MS,
			longestRetry: MAX_REDIAL_DELAY_MS,
		})
		this.calls = new PeerCalls(clock, (peer, event) => this.hub.send(peer, event))
		const leader = () => this.view.leader(clock.now())
		const onFailedOrSlow = callLogger(log, leader)
		const incarnation = randomUUID()
		this.leaderCalls = new LeaderCalls({
			clock,
			calls: this.calls,
			meter,
			leader,
			onFailedOrSlow,
			localLeader,
			incarnation,
		})
	}

	/** Dials these peers and closes the links to all others that were dialled before. */
	dialOnly(peers: Iterable<string>): void {
		const wanted = new Set(peers)
		for (const peer of wanted) this.hub.dial(peer, peer)
		for (const peer of this.hub.dialledPeers) if (!wanted.has(peer)) this.hub.hangUp(peer)
	}

	private onLinkChanged(peer: string, connected: boolean): void {
		const event = connected ? MemberEvent.PeerRegained : MemberEvent.PeerLost
		this.parts.log.info(event, { peer })
		if (connected) return
		this.calls.onLinkLost(peer)
		this.view.onLinkLost(peer)
		this.parts.onPeerLost?.(peer)
	}
}
