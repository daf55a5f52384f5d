/** An entry instance: stateless, forwards calls to the current leader. */
import type { CellCall, CellReply } from '@rillrudder/jobs'
import type { Event, PeerCall } from '@rillrudder/protocol'
import type { Log, Meter } from '@rillrudder/telemetry'
import type { Clock, Timer } from '@rillrudder/utils'
import type { Adviser } from './Adviser'
import { answerQuestion } from './PeerAdvisers'
import type { RetryLimits } from './LeaderCalls'
import { decodeCall } from './messageBodies'
import { ENTRY_NEWS_TTL_MS } from './LeaderView'
import { EntryLoad } from './load/EntryLoad'
import type { InstanceCapacity } from './load/InstanceCapacity'
import { MemberEvent } from './MemberEvent'
import { PeerLinks } from './PeerLinks'
import { selectEntryPeers } from './selectEntryPeers'

/** Milliseconds between two selections of the peers to dial. */
const DIAL_INTERVAL_MS = 250
/**
 * Milliseconds without a leader after which every instance of the core is dialled; a leader change
 * takes less.
 */
const LEADERLESS_TIMEOUT_MS = 700
const ID_PREFIX = 'entry/'

/** Settings and dependencies of an entry instance. @public */
export interface EntryParts {
	readonly name: string
	/** Link addresses of instances of the core; read again each time, since they may change. */
	readonly seeds: () => readonly string[]
	readonly capacity: InstanceCapacity
	readonly clock: Clock
	readonly adviser: Adviser
	readonly log: Log
	readonly meter: Meter
}

/**
 * An entry instance: accepts calls and forwards them to the leader.
 *
 * @public
 */
export class EntryInstance {
	private readonly links: PeerLinks
	private readonly load: EntryLoad
	private timer: Timer | undefined
	private loggedLeader = ''
	/** When a leader was last known, on the instance's clock. */
	private leaderKnownAt = Number.NEGATIVE_INFINITY

	constructor(private readonly parts: EntryParts) {
		this.load = new EntryLoad({ ...parts, period: DIAL_INTERVAL_MS })
		this.links = new PeerLinks({
			self: ID_PREFIX + parts.name,
			newsTtl: ENTRY_NEWS_TTL_MS,
			usesRelays: true,
			clock: parts.clock,
			log: parts.log,
			meter: parts.meter,
			onEvent: (from, event) => this.onEvent(from, event),
			onPeerLost: () => this.updateLeader(),
		})
	}

	/**
	 * Whether this instance accepts new connections: a leader is reachable and the instance isn't
	 * overloaded.
	 */
	get isReady(): boolean {
		return this.knowsLeader && this.load.acceptsConnections
	}

	private get knowsLeader(): boolean {
		return (this.links.view.leader(this.parts.clock.now())?.via.length ?? 0) > 0
	}

	/** Connects to the core. */
	start(): void {
		this.dial()
		this.timer = this.parts.clock.every(DIAL_INTERVAL_MS, () => this.tick())
	}

	/** Forwards a call to the leader. */
	call(call: CellCall, limits: RetryLimits): Promise<CellReply> {
		return this.load.track(() => this.links.leaderCalls.call(call, limits))
	}

	/** Closes all links. */
	stop(): void {
		this.timer?.cancel()
		this.links.hub.close()
	}

	private onEvent(from: string, { body }: Event): void {
		if (!body) return
		if (body.$case === 'peerReply') this.links.calls.onReply(body.value)
		else if (body.$case === 'peerCall') this.onPeerCall(from, body.value)
		else if (body.$case === 'cellNews') {
			this.links.view.update(from, body.value, this.parts.clock.now())
			this.updateLeader()
		}
	}

	private onPeerCall(from: string, { id, body }: PeerCall): void {
		const call = decodeCall(body)
		if (call?.kind !== 'advise') {
			this.links.calls.reply(from, id, { kind: 'not-leader' })
			return
		}
		void answerQuestion(this.parts.adviser, call.question).then((reply) =>
			this.links.calls.reply(from, id, reply, this.load.report())
		)
	}

	private updateLeader(): void {
		if (this.knowsLeader) this.links.leaderCalls.onLeaderKnown()
		const known = this.links.view.leader(this.parts.clock.now())
		const leader = known?.id ?? ''
		if (leader === this.loggedLeader) return
		this.loggedLeader = leader
		this.parts.log.info(MemberEvent.LeaderChanged, { leader, term: known?.term ?? 0 })
	}

	private tick(): void {
		this.load.tick()
		this.dial()
	}

	private dial(): void {
		const { clock, seeds, name } = this.parts
		const { view } = this.links
		const now = clock.now()
		const leader = view.leader(now)
		if (leader) this.leaderKnownAt = now
		const lost = now - this.leaderKnownAt > LEADERLESS_TIMEOUT_MS
		const known = lost ? undefined : { leader: leader?.id, freshPeers: view.freshPeers(now) }
		this.links.dialOnly(selectEntryPeers(name, seeds(), view.members(), known))
	}
}
