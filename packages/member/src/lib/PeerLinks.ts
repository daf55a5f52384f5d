/** What every instance has towards the others: links, calls over them, and who leads. */
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

/** What the links of an instance are made with. @internal */
export interface PeerLinksParts {
	/** Its id; other instances dial a core instance by it. */
	readonly self: string
	/** Milliseconds for which it counts what peers other than the leader tell of who leads. */
	readonly newsTtl: number
	readonly clock: Clock
	readonly log: Log
	readonly meter: Meter
	/** Takes an event from a peer. */
	readonly onEvent: (from: string, event: Event) => void
	/** Told once a peer is lost. */
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
	/** Who leads, as the peers tell it. */
	readonly view: LeaderView
	/** Calls to whoever leads. */
	readonly leaderCalls: LeaderCalls

	constructor(private readonly parts: PeerLinksParts) {
		const { self, clock, log, meter, onEvent, localLeader, newsTtl } = parts
		this.view = new LeaderView(newsTtl)
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

	/** Keeps links to these peers, and to no others of those that it has dialled. */
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
