/** An entry instance: keeps nothing, and brings calls to whoever leads. */
import type { CellCall, CellReply } from '@rillrudder/jobs'
import { LinkHub, linkSecurity, type Event, type PeerCall } from '@rillrudder/protocol'
import { type Log, type Meter } from '@rillrudder/telemetry'
import type { Clock, Timer } from '@rillrudder/utils'
import type { Adviser } from './Adviser'
import { answerQuestion } from './AskingPeers'
import { LeaderCalls, type Finality } from './LeaderCalls'
import { LeaderView } from './LeaderView'
import { LINK_SILENCE } from './linkTiming'
import { MemberEvent } from './MemberEvent'
import { PeerCalls } from './PeerCalls'
import { tellCall } from './tellCall'

/** Milliseconds between two looks at whom to dial. */
const DIAL_PERIOD = 250
const ID_PREFIX = 'entry/'

/** What an entry instance is made with. @public */
export interface EntryParts {
	readonly name: string
	/** Link addresses of instances of the core; they may change. */
	readonly seeds: () => readonly string[]
	readonly clock: Clock
	readonly adviser: Adviser
	readonly log: Log
	readonly meter: Meter
}

/**
 * An entry instance.
 *
 * @public
 */
export class EntryInstance {
	private readonly hub: LinkHub
	private readonly peerCalls: PeerCalls
	private readonly view = new LeaderView()
	private readonly leaderCalls: LeaderCalls
	private timer: Timer | undefined
	private toldLeader = ''

	constructor(private readonly parts: EntryParts) {
		const { clock, name } = parts
		this.hub = new LinkHub({
			self: ID_PREFIX + name,
			clock,
			...linkSecurity(undefined),
			receive: (from, event) => this.receive(from, event),
			changed: (peer, connected) => this.linkChanged(peer, connected),
			silence: LINK_SILENCE,
		})
		this.peerCalls = new PeerCalls(clock, (peer, event) => this.hub.send(peer, event))
		this.leaderCalls = new LeaderCalls({
			clock,
			calls: this.peerCalls,
			meter: parts.meter,
			leader: () => this.view.leader(clock.now()),
			slow: tellCall(parts.log, () => this.view.leader(clock.now())),
		})
	}

	/** Whether a leader is known that calls can be brought to. */
	get ready(): boolean {
		return (this.view.leader(this.parts.clock.now())?.via.length ?? 0) > 0
	}

	/** Links up. */
	start(): void {
		this.dial()
		this.timer = this.parts.clock.every(DIAL_PERIOD, () => this.dial())
	}

	/** Brings a call to the leader. */
	call(call: CellCall, finality: Finality): Promise<CellReply> {
		return this.leaderCalls.call(call, finality)
	}

	/** Ends all links. */
	stop(): void {
		this.timer?.cancel()
		this.hub.close()
	}

	private receive(from: string, { body }: Event): void {
		if (!body) return
		if (body.$case === 'peerReply') this.peerCalls.replied(body.value)
		else if (body.$case === 'peerCall') this.peerCalled(from, body.value)
		else if (body.$case === 'cellNews') {
			this.view.take(from, body.value, this.parts.clock.now())
			this.noteLeader()
		}
	}

	private peerCalled(from: string, { id, body }: PeerCall): void {
		const call = JSON.parse(body.toString()) as CellCall
		if (call.kind !== 'advise') {
			this.peerCalls.reply(from, id, { kind: 'not-leader' })
			return
		}
		void answerQuestion(this.parts.adviser, call.question).then((reply) =>
			this.peerCalls.reply(from, id, reply)
		)
	}

	private linkChanged(peer: string, connected: boolean): void {
		const event = connected ? MemberEvent.PeerRegained : MemberEvent.PeerLost
		this.parts.log.info(event, { peer })
		if (connected) return
		this.peerCalls.lost(peer)
		this.view.lost(peer)
		this.noteLeader()
	}

	private noteLeader(): void {
		if (this.ready) this.leaderCalls.led()
		const known = this.view.leader(this.parts.clock.now())
		const leader = known?.id ?? ''
		if (leader === this.toldLeader) return
		this.toldLeader = leader
		this.parts.log.info(MemberEvent.LeaderChanged, { leader, term: known?.term ?? 0 })
	}

	private dial(): void {
		const wanted = new Set([...this.parts.seeds(), ...this.view.members()])
		for (const peer of wanted) this.hub.dial(peer, peer)
		for (const peer of this.hub.dialledPeers) if (!wanted.has(peer)) this.hub.hangUp(peer)
	}
}
